package kitemux.world;

import io.netty.channel.AbstractServerChannel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import kitemux.net.Network;

/** Where a node listens in the world. The machine takes connections in; the process has them when it
 * accepts. */
final class WorldListener extends AbstractServerChannel implements WorldLoop.Ready {
    private final WorldNetwork network;
    private final Network.AcceptGate gate;
    private final ChannelConfig config = new NoSocket(this, () -> wantsAccept = false);
    private final ArrayDeque<End> backlog = new ArrayDeque<>();
    private boolean open = true;
    private boolean bound;
    private boolean wantsAccept;

    WorldListener(WorldNetwork network, Network.AcceptGate gate) {
        super();
        this.network = network;
        this.gate = gate;
    }

    /** As NIO takes connections in: as many as the allocator says in one turn, all that are there at most. */
    @Override
    public boolean process() {
        if (open && wantsAccept && !backlog.isEmpty()) {
            var handle = unsafe().recvBufAllocHandle();
            handle.reset(config);
            while (!backlog.isEmpty() && gate.canAccept()) {
                gate.onAccepted();
                pipeline().fireChannelRead(network.accept(this, backlog.poll()));
                handle.incMessagesRead(1);
                if (!handle.continueReading()) {
                    break;
                }
            }
            handle.readComplete();
            pipeline().fireChannelReadComplete();
        }
        return open && wantsAccept && !backlog.isEmpty();
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return loop instanceof WorldLoop;
    }

    @Override
    protected SocketAddress localAddress0() {
        return network.machine().address;
    }

    @Override
    protected void doBind(SocketAddress address) {
        bound = true;
        network.opened(this);
        network.machine().acceptor = end -> {
            backlog.add(end);
            network.ready(this);
        };
    }

    /** What the machine took in and the gate keeps out is reset with the listener. */
    @Override
    protected void doClose() {
        if (open) {
            while (bound && !backlog.isEmpty() && gate.canAccept()) {
                gate.onAccepted();
                pipeline().fireChannelRead(network.accept(this, backlog.poll()));
            }
            open = false;
            network.closed(this);
            network.machine().acceptor = null;
            backlog.forEach(End::abort);
            backlog.clear();
        }
    }

    @Override
    protected void doBeginRead() {
        wantsAccept = true;
        network.ready(this);
    }

    @Override
    public ChannelConfig config() {
        return config;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public boolean isActive() {
        return open && bound;
    }
}
