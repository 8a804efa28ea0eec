package kitemux.net;

import io.netty.channel.socket.DuplexChannel;

/** A connection that can tell whether it has received data that has not been read yet. */
public interface InputAwareChannel extends DuplexChannel {
    /**
     * Whether all received data has been read. Implementations for accepted and for outbound connections differ
     * in their result for a connection that has ended and in whether they consume a received byte.
     */
    boolean hasNoUnreadInput();
}
