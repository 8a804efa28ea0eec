package kitemux.net;

import io.netty.channel.socket.DuplexChannel;

/** A connection that can be asked whether anything has come that was not read yet. */
public interface InputAwareChannel extends DuplexChannel {
    /**
     * Whether all that has come is read. What holds of a connection that has ended, and what becomes of a
     * byte that has come, differs from one side to the other; see there.
     */
    boolean hasNoUnreadInput();
}
