package kitemux.net;

import io.netty.buffer.ByteBuf;

/**
 * A server's response body, either buffered completely or, if it is long, streamed. A streamed body is forwarded
 * from the server's connection to the client's on the event loop. The receiver controls when reading continues,
 * so that no more than one read is buffered.
 */
public final class ServerResponse {
    /** Receives a streamed body. */
    public interface BodySink {
        /** Receives the next bytes of the body and takes ownership of the buffer. */
        void onBodyBytes(ByteBuf bytes);
    }

    /** The connection that a streamed body is read from. */
    public interface BodySource {
        /** Enables or disables reading from the connection. */
        void setReading(boolean enabled);
    }

    private final byte[] bufferedBody;
    private final long length;
    private final BodySource bodySource;
    private BodySink bodySink;

    private ServerResponse(byte[] bufferedBody, long length, BodySource bodySource) {
        this.bufferedBody = bufferedBody;
        this.length = length;
        this.bodySource = bodySource;
    }

    /** Returns a response whose body has been received completely. */
    public static ServerResponse buffered(byte[] body) {
        return new ServerResponse(body, body.length, null);
    }

    /**
     * Returns a response whose body is streamed.
     *
     * @param length length of the body in bytes, or -1 if it is not known in advance
     */
    public static ServerResponse streaming(long length, BodySource bodySource) {
        return new ServerResponse(null, length, bodySource);
    }

    /** Returns the body, or null if it is streamed. */
    public byte[] body() {
        return bufferedBody;
    }

    /** Returns the length of the body in bytes, or -1 if it is not known in advance. */
    public long length() {
        return length;
    }

    /** Sets the receiver of a streamed body; must be called before {@link #deliver}. */
    public void streamTo(BodySink sink) {
        bodySink = sink;
    }

    /** Passes the next bytes of a streamed body to the receiver. */
    public void deliver(ByteBuf bytes) {
        bodySink.onBodyBytes(bytes);
    }

    /** Enables or disables reading of a streamed body; called by its receiver. */
    public void setReading(boolean enabled) {
        bodySource.setReading(enabled);
    }
}
