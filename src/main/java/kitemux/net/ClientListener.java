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

/** A listening socket whose accepted connections can tell whether they have unread input. */
class ClientListener extends NioServerSocketChannel {
    /** Interval between checks whether the selector has released a socket that is being closed. */
    private static final long DEREGISTRATION_POLL_MS = 1;

    /** Delay between a failed accept and the next one. */
    private static final long ACCEPT_RETRY_DELAY_MS = 10;

    private final Network.AcceptGate acceptGate;
    private boolean acceptPaused;

    ClientListener(Network.AcceptGate acceptGate) {
        this.acceptGate = acceptGate;
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel socket = acceptGate.canAccept() ? acceptOrPause() : null;
        if (socket == null) {
            return 0;
        }
        acceptGate.onAccepted();
        accepted.add(new AcceptedChannel(this, socket));
        return 1;
    }

    /** Accepts a connection with the system call; returns null if none is waiting. */
    SocketChannel accept() throws IOException {
        return javaChannel().accept();
    }

    /**
     * Accepts a connection, or pauses after a failure: the call may keep failing for a while, and the selector
     * would report the waiting connection again immediately.
     */
    private SocketChannel acceptOrPause() {
        try {
            return accept();
        } catch (IOException e) {
            acceptGate.onAcceptFailed(e);
            acceptPaused = true;
            eventLoop().schedule(this::resumeAccepting, ACCEPT_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
            clearReadPending();
            return null;
        }
    }

    private void resumeAccepting() {
        acceptPaused = false;
        if (isOpen() && config().isAutoRead()) {
            read();
        }
    }

    @Override
    protected void doBeginRead() throws Exception {
        if (!acceptPaused) {
            super.doBeginRead();
        }
    }

    @Override
    public ChannelFuture close() {
        return close(newPromise());
    }

    /**
     * Closes the socket once the selector has released it, in one of the next loop iterations. A socket that is
     * still registered is only closed by the selector's next poll; until then the system would complete
     * connections and then reset them.
     */
    @Override
    public ChannelFuture close(ChannelPromise promise) {
        if (isRegistered()) {
            deregister().addListener(done -> closeAfterDeregistration(promise));
            return promise;
        }
        return super.close(promise);
    }

    private void closeAfterDeregistration(ChannelPromise promise) {
        if (javaChannel().isRegistered()) {
            eventLoop()
                    .schedule(() -> closeAfterDeregistration(promise), DEREGISTRATION_POLL_MS, TimeUnit.MILLISECONDS);
        } else {
            super.close(promise);
        }
    }

    /**
     * Accepts the waiting connections, as far as the gate allows, and closes; the system resets the rest. The
     * number accepted is limited to the backlog, because this would not end while new connections keep arriving.
     */
    @Override
    protected void doClose() throws Exception {
        List<Object> accepted = new ArrayList<>(1);
        for (int i = 0; i < Network.BACKLOG && isActive() && doReadMessages(accepted) > 0; i++) {
            pipeline().fireChannelRead(accepted.remove(0));
        }
        super.doClose();
    }

    /** A connection from a client. */
    static final class AcceptedChannel extends NioSocketChannel implements InputAwareChannel {

        AcceptedChannel(Channel listener, SocketChannel socket) {
            super(listener, socket);
        }

        @Override
        public void retryWrite() {
            unsafe().forceFlush();
        }

        /** Whether all received data has been read, or the connection has ended; reads nothing from the socket. */
        @Override
        public boolean hasNoUnreadInput() {
            try {
                return !isActive() || javaChannel().socket().getInputStream().available() == 0;
            } catch (IOException e) {
                // The connection is broken, so there is nothing left to read.
                return true;
            }
        }
    }
}
