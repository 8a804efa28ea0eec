package kitemux.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;

/**
 * A loopback address for a process that is yet to start. A port that was only looked for may be gone by then:
 * the system gives it to any connection that is made meanwhile. So it is kept bound, by a socket that neither
 * listens nor connects; beside such a one another that may reuse the address, as listeners here do, can still
 * be bound (socket(7), SO_REUSEADDR), and while none listens connections to it are refused.
 */
final class HeldAddress implements AutoCloseable {
    private final SocketChannel holder;

    /** Takes a port that nobody has. */
    HeldAddress() throws IOException {
        holder = SocketChannel.open();
        try {
            holder.setOption(StandardSocketOptions.SO_REUSEADDR, true)
                    .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        } catch (IOException e) {
            holder.close();
            throw e;
        }
    }

    /** The address, with its port. */
    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) holder.getLocalAddress();
    }

    /** Lets go of it. */
    @Override
    public void close() throws IOException {
        holder.close();
    }
}
