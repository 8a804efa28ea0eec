package kitemux.net;

import io.netty.buffer.ByteBuf;

/**
 * What a server answered: whole, or as it comes where it is long. One that comes is passed from the server's
 * connection to the client's on the loop, and whoever takes it says when to go on reading, so that it never
 * lies here but for a few reads.
 */
public final class ServerResponse {
    /** Takes what comes; its buffers are its own from then on. */
    public interface BodySink {
        /** The next bytes of the body. */
        void onBodyBytes(ByteBuf bytes);
    }

    /** Where it comes from. */
    public interface BodySource {
        /** Whether to go on reading. */
        void setReading(boolean on);
    }

    private final byte[] whole;
    private final long length;
    private final BodySource source;
    private BodySink sink;

    private ServerResponse(byte[] whole, long length, BodySource source) {
        this.whole = whole;
        this.length = length;
        this.source = source;
    }

    /** One that has come whole. */
    public static ServerResponse buffered(byte[] body) {
        return new ServerResponse(body, body.length, null);
    }

    /**
     * One that begins to come.
     *
     * @param length of its body in bytes, or -1 where only its end will tell
     */
    public static ServerResponse streaming(long length, BodySource source) {
        return new ServerResponse(null, length, source);
    }

    /** Its body; null for one that comes. */
    public byte[] body() {
        return whole;
    }

    /** Of its body in bytes, or -1 where only its end will tell. */
    public long length() {
        return length;
    }

    /** Whoever takes it does so from now on. */
    public void streamTo(BodySink taker) {
        sink = taker;
    }

    /** More has come. */
    public void deliver(ByteBuf bytes) {
        sink.onBodyBytes(bytes);
    }

    /** Whether to go on reading; to be called by whoever takes it. */
    public void setReading(boolean on) {
        source.setReading(on);
    }
}
