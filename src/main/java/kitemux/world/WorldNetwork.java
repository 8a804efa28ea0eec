package kitemux.world;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import kitemux.net.InputAwareChannel;
import kitemux.net.Network;

/** The world's network as one process of a node has it. */
final class WorldNetwork implements Network {
    private final Fabric fabric;
    private final Machine machine;
    private final WorldLoop loop;
    private final Runnable wake;
    private final Defect defect;
    private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false, true);
    private final Set<Channel> open = new LinkedHashSet<>();
    private long lastId;

    /** The wake-up is called when the loop has something to do that it does not know of yet. */
    WorldNetwork(Fabric fabric, Machine machine, WorldLoop loop, Runnable wake, Defect defect) {
        this.fabric = fabric;
        this.machine = machine;
        this.loop = loop;
        this.wake = wake;
        this.defect = defect;
    }

    @Override
    public ServerChannel newListener(AcceptGate gate) {
        return new WorldListener(this, gate);
    }

    @Override
    public InputAwareChannel newOutboundChannel() {
        WorldChannel channel = new WorldChannel(this);
        defect.opened(channel, false);
        return channel;
    }

    @Override
    public UnpooledByteBufAllocator allocator() {
        return allocator;
    }

    Machine machine() {
        return machine;
    }

    WorldChannel.Id nextId() {
        return new WorldChannel.Id(++lastId);
    }

    End connect(SocketAddress to) {
        return fabric.connect(machine, (InetSocketAddress) to, null);
    }

    void ready(WorldLoop.Ready channel) {
        loop.ready(channel);
        wake.run();
    }

    /** A channel for a connection that the machine has taken in. */
    WorldChannel accept(Channel listener, End end) {
        WorldChannel channel = new WorldChannel(this, listener, end);
        defect.opened(channel, true);
        fabric.noteAccept(end);
        return channel;
    }

    void opened(Channel channel) {
        open.add(channel);
    }

    void closed(Channel channel) {
        open.remove(channel);
    }

    /** Channels that are not closed, the listener included. */
    int openCount() {
        return open.size();
    }
}
