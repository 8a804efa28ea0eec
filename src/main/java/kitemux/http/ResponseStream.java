package kitemux.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import kitemux.net.ByteBudget;
import kitemux.net.ServerResponse;

/**
 * Forwards a streamed response to a client. The next read from the server follows only once the client's socket has
 * taken what was read before, so that a stream holds the buffer of one read at most, however little of it is filled.
 * While the client keeps up nothing waits, and reading goes on without pauses.
 */
final class ResponseStream {
    private final Channel client;
    private final ServerResponse response;
    private final ByteBudget responses;
    private final Runnable onPartSent;
    /** Number of parts of the body that wait to be sent. */
    private int unsentPartCount;
    /** Whether the response has ended; its server connection may carry another one from then on. */
    private boolean hasEnded;

    /**
     * Creates the stream; the response's head must have been written.
     *
     * @param responses counts the parts on the heap until they are sent
     * @param onPartSent called whenever the client's socket has taken a part of the body
     */
    ResponseStream(Channel client, ServerResponse response, ByteBudget responses, Runnable onPartSent) {
        this.client = client;
        this.response = response;
        this.responses = responses;
        this.onPartSent = onPartSent;
    }

    /** Starts to forward the body. */
    void start() {
        response.streamTo(this::forward);
    }

    private void forward(ByteBuf bytes) {
        unsentPartCount++;
        // Direct memory is bounded where it is read into.
        int heapBytes = bytes.isDirect() ? 0 : bytes.readableBytes();
        responses.add(heapBytes);
        client.writeAndFlush(new DefaultHttpContent(bytes)).addListener(sent -> {
            unsentPartCount--;
            responses.release(heapBytes);
            onPartSent.run();
            updateReading();
        });
        updateReading();
    }

    /** Reads on, or pauses. A client that has left takes nothing, but the response is still read to its end. */
    private void updateReading() {
        if (!hasEnded) {
            response.setReading(unsentPartCount == 0 || !client.isActive());
        }
    }

    /** Resumes reading as the client has left. */
    void onClientLeft() {
        updateReading();
    }

    /** Stops any influence on the server's connection. */
    void end() {
        hasEnded = true;
    }

    /** Returns whether parts of the body wait for the client. */
    boolean hasUnsentParts() {
        return unsentPartCount > 0;
    }
}
