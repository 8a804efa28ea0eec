package kitemux.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Listens for clients, whose connections can be asked whether anything has come that was not read yet. */
class ClientListener extends NioServerSocketChannel {
    /** For the loop to look at its sockets once more. */
    private static final long TURN_MS = 1;

    /** Between an accept that failed and the next. */
    private static final long PAUSE_MS = 10;

    private final Network.AcceptGate gate;
    private boolean pausing;

    ClientListener(Network.AcceptGate gate) {
        this.gate = gate;
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel socket = gate.canAccept() ? acceptOrPause() : null;
        if (socket == null) {
            return 0;
        }
        gate.onAccepted();
        accepted.add(new Accepted(this, socket));
        return 1;
    }

    /** The system call; null if none waits. */
    SocketChannel accept() throws IOException {
        return javaChannel().accept();
    }

    /** A call that fails may do so for a while, and the selector would tell of it again at once. */
    private SocketChannel acceptOrPause() {
        try {
            return accept();
        } catch (IOException e) {
            gate.onAcceptFailed(e);
            pausing = true;
            eventLoop().schedule(this::goOn, PAUSE_MS, TimeUnit.MILLISECONDS);
            clearReadPending();
            return null;
        }
    }

    private void goOn() {
        pausing = false;
        if (isOpen() && config().isAutoRead()) {
            read();
        }
    }

    @Override
    protected void doBeginRead() throws Exception {
        if (!pausing) {
            super.doBeginRead();
        }
    }

    @Override
    public ChannelFuture close() {
        return close(newPromise());
    }

    /**
     * Closes once the selector has let go of the socket, in one of the loop's next turns. What is still
     * registered is closed by the selector's next look only: until then connections come up, and are reset.
     */
    @Override
    public ChannelFuture close(ChannelPromise promise) {
        if (isRegistered()) {
            deregister().addListener(done -> closeOnceReleased(promise));
            return promise;
        }
        return super.close(promise);
    }

    private void closeOnceReleased(ChannelPromise promise) {
        if (javaChannel().isRegistered()) {
            eventLoop().schedule(() -> closeOnceReleased(promise), TURN_MS, TimeUnit.MILLISECONDS);
        } else {
            super.close(promise);
        }
    }

    /**
     * Accepts what waits, as far as the gate allows, and closes: the system resets the rest. Where connections
     * keep coming it would go on without end: it accepts as many as can have waited.
     */
    @Override
    protected void doClose() throws Exception {
        List<Object> accepted = new ArrayList<>(1);
        for (int i = 0; i < Network.BACKLOG && isActive() && doReadMessages(accepted) > 0; i++) {
            pipeline().fireChannelRead(accepted.remove(0));
        }
        super.doClose();
    }

    /** A client's socket. */
    static final class Accepted extends NioSocketChannel implements InputAwareChannel {

        Accepted(Channel listener, SocketChannel socket) {
            super(listener, socket);
        }

        /** Whether all that has come is read; nothing is taken from the socket. */
        @Override
        public boolean hasNoUnreadInput() {
            try {
                return !isActive() || javaChannel().socket().getInputStream().available() == 0;
            } catch (IOException e) {
                // Broken: nothing more is owed.
                return true;
            }
        }
    }
}
