package kitemux.net;

import io.netty.channel.socket.DuplexChannel;

/** A connection that can tell whether it has received data that has not been read yet. */
public interface InputAwareChannel extends DuplexChannel {
    /**
     * Whether all received data has been read. Implementations for accepted and for outbound connections differ
     * in their result for a connection that has ended and in whether they consume a received byte.
     */
    boolean hasNoUnreadInput();

    /**
     * Writes queued output as far as the socket takes it now. Systems report a socket as writable only once a good part
     * of its buffer is free, while a write succeeds as soon as any of it is; a channel without that difference does
     * nothing here.
     */
    default void retryWrite() {}

    /**
     * Acknowledges at once what has been received, where the system allows it. A sender may hold back a small write until
     * the one before is acknowledged, which usually waits for the next write of this side.
     */
    default void acknowledgeInput() {}
}
