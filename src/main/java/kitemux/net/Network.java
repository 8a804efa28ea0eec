package kitemux.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ServerChannel;
import java.io.IOException;

/** Where a node's channels come from: the system's sockets, or a world that plays them. */
public interface Network {
    /** Connections that wait for an accept, at most; listeners are bound with it. */
    int BACKLOG = 1_024;

    /** Says how many connections a listener may take in. */
    interface AcceptGate {
        /** Whether one more may be taken; while not, the listener takes none, and is to be told to stop
         * reading. */
        boolean canAccept();

        /** One was taken; it will be heard of as a channel in the same turn of the loop. */
        void onAccepted();

        /** The system could not hand one over; the listener tries again within tens of milliseconds. */
        void onAcceptFailed(IOException cause);
    }

    /**
     * A channel that listens; those that it takes in are {@link InputAwareChannel}s. As it closes it first takes in
     * what waits, as far as the gate allows.
     */
    ServerChannel newListener(AcceptGate gate);

    /** A channel to a server or to discovery, not yet connected. */
    InputAwareChannel newOutboundChannel();

    /** Makes all buffers for what is read and written; they belong to whoever holds them last, by Netty's
     * rules. */
    ByteBufAllocator allocator();
}
