package kitemux.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import kitemux.net.ByteBudget;
import kitemux.net.ServerResponse;

/**
 * Forwards a streamed response to a client. The head goes with the first part of the body, and the response has begun for
 * the client once its socket has taken a byte; until then it can be withdrawn. The next read from the server follows only once the client's socket has
 * taken what was read before, so that a stream holds the buffer of one read at most, however little of it is filled.
 * While the client keeps up nothing waits, and reading goes on without pauses.
 */
final class ResponseStream {
    private final Channel client;
    private final HttpResponse head;
    private final ServerResponse response;
    private final ByteBudget responses;
    private final Runnable onPartSent;
    /** Completes when the client's socket has taken the head; null before the head is written. */
    private ChannelFuture headWritten;
    /** Number of parts of the body that wait to be sent. */
    private int unsentPartCount;
    /** Whether the response has ended; its server connection may carry another one from then on. */
    private boolean hasEnded;

    /**
     * Creates a stream of which nothing has been written.
     *
     * @param head head of the response to the client
     * @param responses counts the parts on the heap until they are sent
     * @param onPartSent called whenever the client's socket has taken a part of the body
     */
    ResponseStream(
            Channel client, HttpResponse head, ServerResponse response, ByteBudget responses, Runnable onPartSent) {
        this.client = client;
        this.head = head;
        this.response = response;
        this.responses = responses;
        this.onPartSent = onPartSent;
    }

    /** Starts to forward the body. */
    void start() {
        response.streamTo(this::forward);
    }

    private void forward(ByteBuf bytes) {
        writeHead();
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

    private void writeHead() {
        if (headWritten == null) {
            headWritten = client.write(head);
        }
    }

    /** Writes the end of the response; the future completes when the client's socket has taken it. */
    ChannelFuture finish() {
        writeHead();
        return client.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /**
     * Withdraws the response if the client's socket has not taken a byte of it, and drops what waits to be sent.
     *
     * @return false if the response has begun for the client
     */
    boolean withdraw() {
        if (headWritten == null) {
            return true;
        }
        ChannelOutboundBuffer unsent = client.unsafe().outboundBuffer();
        if (headWritten.isDone() || unsent == null || unsent.currentProgress() > 0) {
            return false;
        }
        WithdrawnException cause = new WithdrawnException();
        while (unsent.remove(cause)) {
            // Each call removes one message.
        }
        return true;
    }

    /** The response was withdrawn before the client's socket took any of it. */
    private static final class WithdrawnException extends Exception {
        private static final long serialVersionUID = 1;

        WithdrawnException() {
            super("the response was withdrawn", null, false, false);
        }
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
