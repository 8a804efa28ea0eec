package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import kitemux.net.SocketBuffers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against request bodies of which the system holds several MB for each connection of a node. */
@Timeout(60)
class SystemBuffersTest {
    private static final SocketBuffers FULL = SocketBuffers.full();
    private static final int BODY_BYTES = 32 << 20;
    /** Receive buffer of a server that reads nothing. */
    private static final int SERVER_RECEIVE_BUFFER_BYTES = 64 << 10;

    private static final int CLIENT_SEND_BUFFER_BYTES = 64 << 10;
    /** A buffer may be exceeded by the segment that fills it. */
    private static final int LOOPBACK_SEGMENT_BYTES = 64 << 10;

    private static final int BLOCKED_CHECK_COUNT = 40;
    private static final long CHECK_INTERVAL_MS = 10;

    /** Time in which a node writes what its socket takes, well within the client's time. */
    private static final long WRITE_TIME_MS = 300;

    /**
     * Guards against a body that stays unread, as there is no room for it, and of which the system takes several MB for each
     * client: a receive buffer grows while it is read. The process is stopped within a body, so that the rest stays unread.
     */
    @Test
    void unreadBodyTakesOneBufferOfTheSystem(@TempDir Path folder) throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                NodeProcess node = NodeProcess.startDeployed(folder, List.of(), server)) {
            node.awaitListening();
            SocketChannel client = node.connectChannel();
            client.setOption(StandardSocketOptions.SO_SNDBUF, CLIENT_SEND_BUFFER_BYTES);
            String head = Http.order("t", "900m")
                    .replace("Content-Length: 2\r\n\r\nab", "Content-Length: " + BODY_BYTES + "\r\n\r\n");
            client.write(ByteBuffer.wrap(head.getBytes(StandardCharsets.US_ASCII)));
            writeUntilBlocked(client, BODY_BYTES / 2);
            node.setStopped(true);
            long takenBytes = writeUntilBlocked(client, BODY_BYTES / 2 - 1);
            node.setStopped(false);
            long boundBytes = 2L * FULL.bound(SocketBuffers.Kind.CLIENT).receiveBytes()
                    + 2L * CLIENT_SEND_BUFFER_BYTES
                    + LOOPBACK_SEGMENT_BYTES;
            assertTrue(takenBytes <= boundBytes, takenBytes + " bytes were taken, beyond " + boundBytes);
            client.close();
        }
    }

    /** Writes until so many bytes are written, or the socket has taken none for 0.4 s; returns how many it has taken. */
    private static long writeUntilBlocked(SocketChannel client, long maxBytes) throws IOException {
        ByteBuffer piece = ByteBuffer.allocate(CLIENT_SEND_BUFFER_BYTES);
        long writtenBytes = 0;
        for (int blocked = 0; blocked < BLOCKED_CHECK_COUNT && writtenBytes < maxBytes; blocked++) {
            piece.clear().limit((int) Math.min(piece.capacity(), maxBytes - writtenBytes));
            int count = client.write(piece);
            writtenBytes += count;
            if (count > 0) {
                blocked = 0;
            } else {
                Site.parkFor(CHECK_INTERVAL_MS);
            }
        }
        return writtenBytes;
    }

    /**
     * Guards against a body of which the system holds several MB for a server that reads slowly. What the node's socket
     * holds arrives at the server also after the end of the process.
     */
    @Test
    void bodyForSlowServerTakesOneBufferOfTheSystem(@TempDir Path folder) throws Exception {
        try (ServerSocketChannel listener = ServerSocketChannel.open()) {
            listener.setOption(StandardSocketOptions.SO_RCVBUF, SERVER_RECEIVE_BUFFER_BYTES);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            long readBytes;
            String endpoint = "127.0.0.1:" + ((InetSocketAddress) listener.getLocalAddress()).getPort();
            try (NodeProcess node = NodeProcess.startDeployedAt(folder, List.of(), endpoint);
                    SocketChannel client = node.awaitListening().connectChannel()) {
                String head = Http.order("t", "900m")
                        .replace("Content-Length: 2\r\n\r\nab", "Content-Length: " + BODY_BYTES + "\r\n\r\n");
                client.write(ByteBuffer.wrap(head.getBytes(StandardCharsets.US_ASCII)));
                assertEquals(BODY_BYTES, writeUntilBlocked(client, BODY_BYTES));
                try (SocketChannel server = listener.accept()) {
                    Site.parkFor(WRITE_TIME_MS);
                    node.process.destroyForcibly().waitFor();
                    readBytes = readToEnd(server);
                }
            }
            long boundBytes = 2L * FULL.bound(SocketBuffers.Kind.SERVER).sendBytes()
                    + 2L * SERVER_RECEIVE_BUFFER_BYTES
                    + LOOPBACK_SEGMENT_BYTES;
            assertTrue(readBytes <= boundBytes, readBytes + " bytes were held, beyond " + boundBytes);
        }
    }

    private static long readToEnd(SocketChannel server) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(SERVER_RECEIVE_BUFFER_BYTES);
        long readBytes = 0;
        int count;
        while ((count = server.read(buffer.clear())) > 0) {
            readBytes += count;
        }
        return readBytes;
    }
}
