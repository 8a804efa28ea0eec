package kitemux.net;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/** Listens for clients, whose connections can be asked whether anything has come that was not read yet. */
final class ClientListener extends NioServerSocketChannel {
    private final Network.Gate gate;

    ClientListener(Network.Gate gate) {
        this.gate = gate;
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel socket = gate.mayTake() ? javaChannel().accept() : null;
        if (socket == null) {
            return 0;
        }
        gate.taken();
        accepted.add(new Accepted(this, socket));
        return 1;
    }

    /** A client's socket. */
    static final class Accepted extends NioSocketChannel implements QuietChannel {

        Accepted(Channel listener, SocketChannel socket) {
            super(listener, socket);
        }

        /** Whether all that has come is read; nothing is taken from the socket. */
        @Override
        public boolean isQuiet() {
            try {
                return !isActive() || javaChannel().socket().getInputStream().available() == 0;
            } catch (IOException e) {
                // Broken: nothing more is owed.
                return true;
            }
        }
    }
}
