package kitemux.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ServerChannel;
import java.io.IOException;

/** Creates a node's channels, from the system's sockets or from a simulation of them. */
public interface Network {
    /** Maximum number of connections that wait to be accepted; listeners are bound with it. */
    int BACKLOG = 1_024;

    /** Limits how many connections a listener accepts. */
    interface AcceptGate {
        /**
         * Whether one more connection may be accepted. While this is false the listener accepts none, and the
         * caller should stop its reading.
         */
        boolean canAccept();

        /** A connection was accepted; its channel is registered in the same loop iteration. */
        void onAccepted();

        /** The system failed to accept a connection; the listener tries again within tens of milliseconds. */
        void onAcceptFailed(IOException cause);
    }

    /**
     * Creates a listening channel, whose accepted channels are {@link InputAwareChannel}s. When it closes, it
     * first accepts the waiting connections, as far as the gate allows.
     */
    ServerChannel newListener(AcceptGate gate);

    /** Creates an unconnected channel to a server or to discovery. */
    InputAwareChannel newOutboundChannel();

    /** Returns the allocator of all buffers; their ownership follows Netty's reference counting rules. */
    ByteBufAllocator allocator();
}
