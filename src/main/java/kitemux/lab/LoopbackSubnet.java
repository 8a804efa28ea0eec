package kitemux.lab;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * The addresses 127.R.x.y, which one run has to itself: concurrent runs on a machine have different values of R. A
 * subnet is in use while its holder keeps a socket bound in it.
 */
public final class LoopbackSubnet implements AutoCloseable {
    private static final int FIRST_SUBNET = 64;
    private static final int SUBNET_COUNT = 128;
    private static final int LOCK_PORT = 20_999;

    private final ServerSocket lockSocket;

    private LoopbackSubnet(ServerSocket lockSocket) {
        this.lockSocket = lockSocket;
    }

    /**
     * Acquires a free subnet, which is held until it is closed.
     *
     * @throws IOException if no subnet is free
     */
    public static LoopbackSubnet acquire() throws IOException {
        for (int i = 0; i < SUBNET_COUNT; i++) {
            ServerSocket socket = new ServerSocket();
            try {
                socket.bind(new InetSocketAddress("127." + (FIRST_SUBNET + i) + ".255.254", LOCK_PORT));
                return new LoopbackSubnet(socket);
            } catch (BindException e) {
                socket.close();
            }
        }
        throw new IOException("no room for a run: " + SUBNET_COUNT + " are played on this machine");
    }

    /** Returns the R of this subnet, from 64 to 191. */
    public int number() {
        return lockSocket.getInetAddress().getAddress()[1] & 0xff;
    }

    /** Returns an address in this subnet; the number ranges from 0 to about 60,000. */
    public InetSocketAddress address(int number, int port) {
        return new InetSocketAddress(
                "127." + number() + "." + (number + 1) / 250 + "." + (1 + (number + 1) % 250), port);
    }

    @Override
    public void close() throws IOException {
        lockSocket.close();
    }
}
