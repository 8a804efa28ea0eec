package kitemux.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import java.io.IOException;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * Bounds of the buffers that the system holds for the sockets of a node, for each kind of socket and in both directions.
 * With all descriptors in use and every buffer full, in both processes of an upgrade, they stay within
 * {@link #NODE_SHARE} of the memory from which the system is short of it for TCP. A socket also stays below its even part of
 * that memory, which is what a system that is short goes on to grant: without a bound a buffer grows to several MB, and
 * input of a connection that holds more than its part is dropped and comes again after 0.2 s and more.
 *
 * <p>A bound is also what may be on its way at a time: a connection carries at most one buffer for each round trip.
 */
public final class SocketBuffers {
    /** Part of the system's mark for pressure that the sockets of one node may hold, both processes of an upgrade together. */
    static final double NODE_SHARE = 0.5;
    /** Number of processes of one node during an upgrade. */
    private static final int MAX_PROCESS_COUNT = 2;
    /** How much the system takes for a buffer of a given size: it counts its own structures as well. */
    private static final int SYSTEM_FACTOR = 2;
    /** Size to which a buffer is reduced at most, in bytes: a few segments. */
    static final int MIN_BUFFER_BYTES = 8 << 10;

    private static final Path PROC = Path.of("/proc");

    /** What a socket is used for. */
    public enum Kind {
        /** Connections that clients opened. Bodies come in; answers go out, long ones among them. */
        CLIENT(64 << 10, 64 << 10),
        /** Connections to servers. Answers come in, long ones among them; bodies go out. */
        SERVER(64 << 10, 64 << 10),
        /** Watches on discovery. Lists come in; short calls go out. */
        DISCOVERY(64 << 10, 8 << 10),
        /** Calls of operators. Short calls come in; figures go out. */
        OPERATOR(8 << 10, 32 << 10),
        /** Connections between a node and the keepers of its configuration, and among keepers. */
        KEEPER(64 << 10, 64 << 10);

        private final Bound full;

        Kind(int receiveBytes, int sendBytes) {
            full = new Bound(receiveBytes, sendBytes);
        }
    }

    /**
     * The buffers of one socket.
     *
     * @param receiveBytes size of the receive buffer as asked for, in bytes
     * @param sendBytes size of the send buffer as asked for, in bytes
     */
    public record Bound(int receiveBytes, int sendBytes) {
        /** Sets the buffers of the connections that this bootstrap opens. */
        public void applyTo(Bootstrap bootstrap) {
            bootstrap.option(ChannelOption.SO_RCVBUF, receiveBytes).option(ChannelOption.SO_SNDBUF, sendBytes);
        }

        /**
         * Sets the buffers of the connections that this bootstrap accepts. The receive buffer is that of the listener, whose
         * connections have it from their first byte, before they are accepted.
         */
        public void applyTo(ServerBootstrap bootstrap) {
            bootstrap.option(ChannelOption.SO_RCVBUF, receiveBytes).childOption(ChannelOption.SO_SNDBUF, sendBytes);
        }

        /** Returns what the system may take for the socket, in bytes. */
        long systemBytes() {
            return SYSTEM_FACTOR * ((long) receiveBytes + sendBytes);
        }

        private Bound scaledBy(double scale) {
            return new Bound(scaled(receiveBytes, scale), scaled(sendBytes, scale));
        }

        private static int scaled(int bytes, double scale) {
            return Math.max(MIN_BUFFER_BYTES, (int) (bytes * scale));
        }
    }

    /** The bounds by the ordinal of their kind. */
    private final Bound[] bounds;

    private SocketBuffers(double scale) {
        bounds = Stream.of(Kind.values()).map(kind -> kind.full.scaledBy(scale)).toArray(Bound[]::new);
    }

    /** Returns the bounds of a system whose memory for TCP is not short. */
    public static SocketBuffers full() {
        return new SocketBuffers(1);
    }

    /**
     * Returns the bounds with which a node stays within its share of the system's memory for TCP, as far as
     * {@link #MIN_BUFFER_BYTES} allows.
     *
     * @param maxSockets number of descriptors that one process may hold
     */
    public static SocketBuffers within(TcpMemoryLimits limits, int maxSockets) {
        return new SocketBuffers(Math.min(1, NODE_SHARE * limits.pressureBytes() / full().nodeBytes(maxSockets)));
    }

    /** Returns the bounds for this system; where it does not tell its limits, those of {@link #full}. */
    public static SocketBuffers forSystem(int maxSockets) {
        try {
            return within(TcpMemoryLimits.read(PROC), maxSockets);
        } catch (IOException e) {
            return full();
        }
    }

    /** Returns the bound of this kind of socket. */
    public Bound bound(Kind kind) {
        return bounds[kind.ordinal()];
    }

    /**
     * Returns what the system may hold for the sockets of a node at most, in bytes: with each descriptor a socket of the
     * kind with the largest bound, and with a full backlog of connections that have sent and are not accepted, in both
     * processes of an upgrade.
     *
     * @param maxSockets number of descriptors that one process may hold
     */
    public long nodeBytes(int maxSockets) {
        long waitingBytes = (long) SYSTEM_FACTOR * bound(Kind.CLIENT).receiveBytes();
        return MAX_PROCESS_COUNT * (bytesOf(maxSockets) + Network.BACKLOG * waitingBytes);
    }

    /** Returns what the system may hold for this many sockets at most, in bytes, whatever they are used for. */
    long bytesOf(int socketCount) {
        return socketCount
                * Stream.of(bounds).mapToLong(Bound::systemBytes).max().orElseThrow();
    }
}
