package kitemux.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A listener whose backlog is full: the system drops what a node sends to connect, and the node's system sends it again
 * after a second.
 */
final class FullListener implements AutoCloseable {
    private static final int FILLER_COUNT = 4;

    private final ServerSocket listener;
    private final Set<Integer> fillerPorts = new HashSet<>();
    private final List<SocketChannel> fillers = new ArrayList<>();

    FullListener() throws IOException {
        listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        for (int i = 0; i < FILLER_COUNT; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            filler.connect(listener.getLocalSocketAddress());
            fillerPorts.add(((InetSocketAddress) filler.getLocalAddress()).getPort());
            fillers.add(filler);
        }
    }

    String endpoint() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Makes room in the backlog, and returns the next connection of a node once it is established. */
    Socket acceptNode() throws IOException {
        for (SocketChannel filler : fillers) {
            filler.close();
        }
        Socket peer = listener.accept();
        while (fillerPorts.contains(peer.getPort())) {
            peer = listener.accept();
        }
        peer.setSoTimeout(20_000);
        return peer;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (SocketChannel filler : fillers) {
            filler.close();
        }
    }
}
