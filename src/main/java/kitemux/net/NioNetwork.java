package kitemux.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ServerChannel;

/** The system's TCP sockets. */
public final class NioNetwork implements Network {
    /** The one that a process needs: it holds nothing. */
    public static final NioNetwork SYSTEM = new NioNetwork();

    /** Buffers of just the size needed, on the heap: memory is short, and loads are small. */
    private static final ByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false, true);

    private NioNetwork() {}

    @Override
    public ServerChannel newListener(AcceptGate gate) {
        return new ClientListener(gate);
    }

    @Override
    public InputAwareChannel newOutboundChannel() {
        return new OutboundChannel();
    }

    @Override
    public ByteBufAllocator allocator() {
        return ALLOCATOR;
    }
}
