package kitemux.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;

/**
 * A loopback address that is reserved for a process until it listens there. A port that is merely free may be assigned to
 * another connection before the process starts, so a socket that neither listens nor connects stays bound to it. A
 * listener with SO_REUSEADDR can bind to the address all the same (socket(7)); until then connections are refused.
 */
final class ReservedAddress implements AutoCloseable {
    private final SocketChannel socket;

    /** Reserves a free port. */
    ReservedAddress() throws IOException {
        socket = SocketChannel.open();
        try {
            socket.setOption(StandardSocketOptions.SO_REUSEADDR, true)
                    .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Returns the reserved address. */
    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) socket.getLocalAddress();
    }

    /** Ends the reservation. */
    @Override
    public void close() throws IOException {
        socket.close();
    }
}
