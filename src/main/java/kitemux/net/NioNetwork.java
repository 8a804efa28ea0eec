package kitemux.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ServerChannel;

/** The system's TCP sockets. */
public final class NioNetwork implements Network {
    /** The only instance, which is stateless. */
    public static final NioNetwork SYSTEM = new NioNetwork();

    /** Allocates unpooled heap buffers of the exact size, because memory is limited and messages are small. */
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
