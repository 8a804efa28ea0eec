package kitemux.world;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AbstractChannel;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelId;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.TimeUnit;
import kitemux.net.InputAwareChannel;

/**
 * A node's end of a connection in the world, with a pipeline like any other. It keeps to what Netty's NIO
 * channel does on a socket: reads until nothing more has come or the allocator says enough, closes on the
 * end of what comes, on errors tells the pipeline first, writes what there is room for and the rest when
 * there is more.
 */
final class WorldChannel extends AbstractChannel implements InputAwareChannel, WorldLoop.Ready {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false, 16);

    private final WorldNetwork network;
    private final boolean accepted;
    private final ChannelConfig config = new NoSocket(this, () -> wantsRead = false);
    private End end;
    private boolean open = true;
    private boolean wantsRead;
    private boolean writeBlocked;
    private boolean outputShut;
    private ChannelPromise connecting;
    private Future<?> connectTimeout;
    private SocketAddress remote;

    /** Not yet connected. */
    WorldChannel(WorldNetwork network) {
        super(null, network.nextId());
        this.network = network;
        accepted = false;
    }

    /** Taken in by a listener. */
    WorldChannel(WorldNetwork network, Channel listener, End end) {
        super(listener, network.nextId());
        this.network = network;
        accepted = true;
        remote = end.peer.machine.address;
        attach(end);
    }

    private void attach(End to) {
        end = to;
        to.listener = changed -> network.ready(this);
    }

    /** Numbers channels by the order in which a node opens them. */
    record Id(long number) implements ChannelId {
        private static final long serialVersionUID = 1;

        @Override
        public String asShortText() {
            return Long.toString(number);
        }

        @Override
        public String asLongText() {
            return asShortText();
        }

        @Override
        public int compareTo(ChannelId other) {
            return Long.compare(number, ((Id) other).number);
        }
    }

    // ---------------------------------------------------------------- a turn of the loop

    @Override
    public boolean process() {
        if (!open) {
            return false;
        }
        Unsafe unsafe = (Unsafe) unsafe();
        if (connecting != null) {
            unsafe.finishConnect();
        }
        if (open && writeBlocked && (end.resetIn || end.room() > 0)) {
            writeBlocked = false;
            unsafe.flushAgain();
        }
        if (open && wantsRead && end.connected && end.isReadable()) {
            unsafe.readAll();
        }
        return open && wantsRead && end.connected && end.isReadable();
    }

    private final class Unsafe extends AbstractUnsafe {

        @Override
        public void connect(SocketAddress to, SocketAddress from, ChannelPromise promise) {
            if (!promise.setUncancellable() || !ensureOpen(promise)) {
                return;
            }
            remote = to;
            connecting = promise;
            network.machine().does();
            attach(network.connect(to));
            int timeout = config.getConnectTimeoutMillis();
            connectTimeout = eventLoop()
                    .schedule(
                            () -> {
                                ChannelPromise late = connecting;
                                if (late != null && late.tryFailure(new ConnectTimeoutException("timed out: " + to))) {
                                    close(voidPromise());
                                }
                            },
                            timeout,
                            TimeUnit.MILLISECONDS);
        }

        void finishConnect() {
            if (!end.connected && !end.refused && !end.resetIn) {
                return;
            }
            ChannelPromise promise = connecting;
            connecting = null;
            connectTimeout.cancel(false);
            if (end.connected) {
                boolean told = promise.trySuccess();
                pipeline().fireChannelActive();
                if (!told) {
                    close(voidPromise());
                }
            } else {
                promise.tryFailure(new ConnectException("Connection refused: " + remote));
                close(voidPromise());
            }
        }

        /** As NIO reads a socket that is ready. */
        void readAll() {
            var handle = recvBufAllocHandle();
            handle.reset(config);
            boolean over = false;
            IOException broken = null;
            do {
                ByteBuf buffer = handle.allocate(config.getAllocator());
                int room = buffer.writableBytes();
                handle.attemptedBytesRead(room);
                byte[] bytes = new byte[Math.min(room, end.unread())];
                int count = end.read(bytes, bytes.length);
                if (count > 0) {
                    buffer.writeBytes(bytes, 0, count);
                    handle.lastBytesRead(count);
                } else {
                    buffer.release();
                    handle.lastBytesRead(end.resetIn || end.finIn ? -1 : 0);
                    over = end.finIn || end.resetIn;
                    broken = end.resetIn ? new IOException("Connection reset") : null;
                    break;
                }
                handle.incMessagesRead(1);
                pipeline().fireChannelRead(buffer);
            } while (open && wantsRead && handle.continueReading());
            handle.readComplete();
            pipeline().fireChannelReadComplete();
            if (broken != null) {
                pipeline().fireExceptionCaught(broken);
            }
            if (over && open) {
                close(voidPromise());
            }
        }

        @Override
        protected void flush0() {
            if (!writeBlocked) {
                super.flush0();
            }
        }

        void flushAgain() {
            super.flush0();
        }
    }

    // ---------------------------------------------------------------- what Netty asks of a channel

    @Override
    protected AbstractUnsafe newUnsafe() {
        return new Unsafe();
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return loop instanceof WorldLoop;
    }

    @Override
    protected void doRegister(ChannelPromise promise) {
        network.opened(this);
        promise.setSuccess();
    }

    @Override
    protected void doBeginRead() {
        wantsRead = true;
        if (end != null && end.isReadable()) {
            network.ready(this);
        }
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) throws IOException {
        while (!out.isEmpty()) {
            if (end.resetIn || outputShut) {
                throw new IOException("Broken pipe");
            }
            ByteBuf next = (ByteBuf) out.current();
            int count = Math.min(next.readableBytes(), end.room());
            if (count == 0 && next.isReadable()) {
                writeBlocked = true;
                return;
            }
            if (count > 0) {
                byte[] bytes = new byte[count];
                next.getBytes(next.readerIndex(), bytes);
                network.machine().does();
                end.write(bytes);
            }
            out.removeBytes(count);
            if (count == 0) {
                out.remove();
            }
        }
    }

    @Override
    protected Object filterOutboundMessage(Object message) {
        if (!(message instanceof ByteBuf)) {
            throw new UnsupportedOperationException("not bytes: " + message.getClass());
        }
        return message;
    }

    @Override
    protected void doClose() {
        if (open) {
            open = false;
            network.closed(this);
            ChannelPromise promise = connecting;
            if (promise != null) {
                connecting = null;
                promise.tryFailure(new ClosedChannelException());
            }
            if (connectTimeout != null) {
                connectTimeout.cancel(false);
            }
            if (end != null) {
                end.close();
            }
        }
    }

    @Override
    protected void doShutdownOutput() {
        outputShut = true;
        end.shutdownOutput();
    }

    @Override
    protected void doBind(SocketAddress address) {
        throw new UnsupportedOperationException();
    }

    @Override
    protected void doDisconnect() {
        doClose();
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
        return open && end != null && end.connected;
    }

    @Override
    public ChannelMetadata metadata() {
        return METADATA;
    }

    @Override
    protected SocketAddress localAddress0() {
        return network.machine().address;
    }

    @Override
    protected SocketAddress remoteAddress0() {
        return remote;
    }

    /**
     * Of a connection that was taken in, whether all that came is read, and a broken one is quiet; of one
     * that was opened, whether it is up with nothing to read, and what is there is taken: like the sockets'
     * own.
     */
    @Override
    public boolean hasNoUnreadInput() {
        if (accepted) {
            return !isActive() || end.unread() == 0;
        }
        return isActive() && end.read(new byte[1], 1) == 0 && !end.finIn && !end.resetIn;
    }

    // ---------------------------------------------------------------- one direction alone

    @Override
    public ChannelFuture shutdownOutput() {
        return shutdownOutput(newPromise());
    }

    @Override
    public ChannelFuture shutdownOutput(ChannelPromise promise) {
        ((AbstractUnsafe) unsafe()).shutdownOutput(promise);
        return promise;
    }

    @Override
    public boolean isOutputShutdown() {
        return outputShut || !isActive();
    }

    @Override
    public boolean isInputShutdown() {
        return !isActive();
    }

    @Override
    public boolean isShutdown() {
        return !isActive();
    }

    @Override
    public ChannelFuture shutdownInput() {
        throw new UnsupportedOperationException("nodes read to the end");
    }

    @Override
    public ChannelFuture shutdownInput(ChannelPromise promise) {
        throw new UnsupportedOperationException("nodes read to the end");
    }

    @Override
    public ChannelFuture shutdown() {
        throw new UnsupportedOperationException("nodes close instead");
    }

    @Override
    public ChannelFuture shutdown(ChannelPromise promise) {
        throw new UnsupportedOperationException("nodes close instead");
    }
}
