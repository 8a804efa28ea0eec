package kitemux.node;

/** Counts open sockets against the process's limit, so that no side takes what the other needs. */
final class Sockets {
    /** Descriptors that the JVM, the jar, the listener and discovery hold, and those of new connections that
     * have been taken together and are looked at one by one. */
    private static final int RESERVED = 32 + Limits.MOST_ACCEPTED;
    /** The part that clients may hold at most; a request in work needs a connection to a server too. */
    private static final double CLIENT_PART = 0.6;

    /** The part of the limit that idle clients may hold: half of what clients may open for requests at all,
     * so that some can always be opened anew. */
    private static final double IDLE_PART = 1.0 / 6;

    private final int most;
    private final int mostIdleClients;
    private int open;
    private int clients;

    Sockets(int limit) {
        most = Math.max(8, limit - RESERVED);
        mostIdleClients = (int) (IDLE_PART * limit);
    }

    void opened() {
        open++;
    }

    void closed() {
        open--;
    }

    void clientOpened() {
        open++;
        clients++;
    }

    void clientClosed() {
        open--;
        clients--;
    }

    int mostIdleClients() {
        return mostIdleClients;
    }

    boolean hasRoomForServer() {
        return open < most;
    }

    boolean hasRoomForClient() {
        return open < most && clients < CLIENT_PART * most;
    }
}
