package kitemux.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ServerChannel;

/** Where a node's channels come from: the system's sockets, or a world that plays them. */
public interface Network {
    /** A channel that listens; those that it takes in are {@link QuietChannel}s. */
    ServerChannel listener();

    /** A channel to a server or to discovery, not yet connected. */
    QuietChannel dialer();

    /** Makes all buffers for what is read and written; they belong to whoever holds them last, by Netty's
     * rules. */
    ByteBufAllocator allocator();
}
