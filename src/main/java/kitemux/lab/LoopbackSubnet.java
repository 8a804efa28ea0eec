package kitemux.lab;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * The addresses 127.R.x.y that one run has to itself: runs that are played at the same time on a machine have
 * each an R of their own. Which is free is told by a socket that each holds.
 */
public final class LoopbackSubnet implements AutoCloseable {
    private static final int FIRST = 64;
    private static final int RUNS = 128;
    private static final int HOLD_PORT = 20_999;

    private final ServerSocket held;

    private LoopbackSubnet(ServerSocket held) {
        this.held = held;
    }

    /**
     * Takes one that is free, until it is closed.
     *
     * @throws IOException if there is none
     */
    public static LoopbackSubnet acquire() throws IOException {
        for (int i = 0; i < RUNS; i++) {
            ServerSocket socket = new ServerSocket();
            try {
                socket.bind(new InetSocketAddress("127." + (FIRST + i) + ".255.254", HOLD_PORT));
                return new LoopbackSubnet(socket);
            } catch (BindException e) {
                socket.close();
            }
        }
        throw new IOException("no room for a run: " + RUNS + " are played on this machine");
    }

    /** Its R, from 64 to 191. */
    public int number() {
        return held.getInetAddress().getAddress()[1] & 0xff;
    }

    /** An address of this run; numbers go from 0 to some 60,000. */
    public InetSocketAddress address(int number, int port) {
        return new InetSocketAddress(
                "127." + number() + "." + (number + 1) / 250 + "." + (1 + (number + 1) % 250), port);
    }

    @Override
    public void close() throws IOException {
        held.close();
    }
}
