package kitemux.net;

/**
 * Counts open sockets against the process's descriptor limit, so that client connections and server connections
 * do not exhaust the descriptors that the other side needs.
 */
public final class SocketBudget {
    /**
     * Maximum number of connections accepted in one loop iteration. Netty's default of 16 is less than what
     * arrives during an iteration of 100 ms: clients timed out in the backlog, and the next iteration accepted only
     * those. A higher number needs more descriptors at once, before any can be closed to make room.
     */
    public static final int MAX_ACCEPTS_PER_TURN = 64;
    /**
     * Descriptors reserved for the JVM, the jar, the listener and discovery, and for connections that were
     * accepted in the same iteration and are registered one by one.
     */
    private static final int RESERVED_DESCRIPTOR_COUNT = 32 + MAX_ACCEPTS_PER_TURN;
    /** Share of the budget for client connections kept open; a request in flight needs a server connection too. */
    private static final double KEPT_CLIENT_RATIO = 0.6;
    /**
     * Share of the budget for client connections that are served. Connections beyond
     * {@link #KEPT_CLIENT_RATIO} are closed after their next answer: they cannot be closed before it, because a
     * received request is owed an answer. The rest is for server connections. Client connections beyond this
     * share are rejected, using the descriptors reserved for connections accepted together.
     */
    private static final double SERVED_CLIENT_RATIO = 0.75;

    /**
     * Share of the limit for idle client connections: half of what clients may open for requests, so that new
     * ones can always be opened.
     */
    private static final double IDLE_CLIENT_RATIO = 1.0 / 6;

    private final int maxOpenCount;
    private final int maxIdleClients;
    private int openCount;
    private int registeredClients;
    /** Connections accepted but not registered yet; registered connections must not be closed to make room for them. */
    private int acceptedClients;
    /** Connections registered and rejected; they close after their answer. */
    private int rejectedClients;

    private final int limit;
    private final SocketBuffers buffers;

    /**
     * Creates a budget with no open sockets, whose buffers have their full size.
     *
     * @param limit number of descriptors that the process may hold
     */
    public SocketBudget(int limit) {
        this(limit, SocketBuffers.full());
    }

    /**
     * Creates a budget with no open sockets.
     *
     * @param limit number of descriptors that the process may hold
     * @param buffers bounds of what the system holds for each socket
     */
    public SocketBudget(int limit, SocketBuffers buffers) {
        this.buffers = buffers;
        this.limit = limit;
        maxOpenCount = Math.max(8, limit - RESERVED_DESCRIPTOR_COUNT);
        maxIdleClients = (int) (IDLE_CLIENT_RATIO * limit);
    }

    /** Records that a connection to a server was opened. */
    public void serverConnectionOpened() {
        openCount++;
    }

    /** Records that a connection to a server was closed. */
    public void serverConnectionClosed() {
        openCount--;
    }

    /**
     * Records that a client connection was accepted; {@link #clientRegistered} follows in the same loop iteration.
     */
    public void clientAccepted() {
        openCount++;
        acceptedClients++;
    }

    /** Records that an accepted client connection was registered. */
    public void clientRegistered() {
        acceptedClients--;
        registeredClients++;
    }

    /** Records that a registered client connection is rejected. */
    public void clientRejected() {
        rejectedClients++;
    }

    /** Records that a rejected client connection was closed; called in addition to {@link #clientClosed}. */
    public void rejectedClientClosed() {
        rejectedClients--;
    }

    /** Records that a client connection was closed. */
    public void clientClosed() {
        openCount--;
        registeredClients--;
    }

    /** Returns the maximum number of idle client connections. */
    public int maxIdleClients() {
        return maxIdleClients;
    }

    /**
     * Whether another connection to a server may be opened. Connections that are accepted but not registered, or
     * are rejected, count against the reserved descriptors: otherwise a burst of them would prevent server
     * connections for the clients that are served, and all requests would be refused.
     */
    public boolean canOpenServerConnection() {
        return openCount - Math.min(MAX_ACCEPTS_PER_TURN, acceptedClients + rejectedClients) < maxOpenCount;
    }

    /** Whether another client connection may be accepted, even if only to reject it. */
    public boolean canAcceptClient() {
        return registeredClients + acceptedClients < SERVED_CLIENT_RATIO * maxOpenCount + MAX_ACCEPTS_PER_TURN;
    }

    /** Whether a registered client connection may be served. */
    public boolean canServeClient() {
        return registeredClients <= SERVED_CLIENT_RATIO * maxOpenCount;
    }

    /** Returns the number of client connections beyond those that may be kept open; never negative. */
    public int clientsBeyondKept() {
        return Math.max(0, registeredClients + acceptedClients - (int) (KEPT_CLIENT_RATIO * maxOpenCount));
    }

    /** Whether a client connection may be kept open for further requests. */
    public boolean canKeepClient() {
        return openCount - acceptedClients <= maxOpenCount && registeredClients <= KEPT_CLIENT_RATIO * maxOpenCount;
    }

    /** Returns the bounds of what the system holds for the sockets. */
    public SocketBuffers buffers() {
        return buffers;
    }

    /** Returns what the system may hold for the sockets. */
    public SocketUsage usage() {
        return new SocketUsage(openCount, buffers.bytesOf(openCount), buffers.nodeBytes(limit));
    }

    /** Returns the number of open sockets. */
    public int openCount() {
        return openCount;
    }
}
