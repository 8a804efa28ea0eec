package kitemux.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import kitemux.net.BoundedReadBuffers;
import org.junit.jupiter.api.Test;

/** Tests what the decoder of responses holds between two reads. */
class StrictResponseDecoderTest {
    private static final int READ_BYTES = 4_096;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String CHUNK = "4\r\nbody\r\n";

    private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false, true);
    private final EmbeddedChannel channel = new EmbeddedChannel();

    private void read(String text) {
        ByteBuf buffer = allocator.directBuffer(READ_BYTES);
        buffer.writeCharSequence(text, StandardCharsets.US_ASCII);
        channel.writeInbound(buffer);
    }

    /** Releases all parts that were decoded and returns the size of their bodies. */
    private int takeBody() {
        int bytes = 0;
        for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
            bytes += part instanceof HttpContent content ? content.content().readableBytes() : 0;
            ReferenceCountUtil.release(part);
        }
        return bytes;
    }

    /** Guards against chunks that lie across two reads and make the buffer of the first grow, and be kept, each time. */
    @Test
    void readsThatEndWithinAChunkHoldNoMoreThanBoth() {
        channel.config().setAllocator(allocator);
        channel.pipeline().addLast(new StrictResponseDecoder(new BoundedReadBuffers()));
        String whole = HEAD + CHUNK.repeat(1_000);
        int readCount = 0;
        int bodyBytes = 0;
        for (int at = 0; at < whole.length(); at += READ_BYTES) {
            read(whole.substring(at, Math.min(whole.length(), at + READ_BYTES)));
            long usedBytes = allocator.metric().usedDirectMemory();
            assertTrue(usedBytes < READ_BYTES + CHUNK.length(), usedBytes + " bytes are held after a read");
            bodyBytes += takeBody();
            readCount++;
        }
        assertTrue(readCount > 1);
        assertEquals(4_000, bodyBytes);
        channel.finishAndReleaseAll();
        assertEquals(0, allocator.metric().usedDirectMemory());
    }
}
