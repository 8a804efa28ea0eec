package kitemux.node;

/** Counts open sockets against the process's limit, so that no side takes what the other needs. */
final class Sockets {
    /** Descriptors that the JVM, the jar, the listener and discovery hold, with room. */
    private static final int RESERVED = 48;
    /** The part that clients may hold at most; a request in work needs a connection to a server too. */
    private static final double CLIENT_PART = 0.6;

    private final int most;
    private int open;
    private int clients;

    Sockets(int limit) {
        most = Math.max(8, limit - RESERVED);
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

    boolean hasRoomForServer() {
        return open < most;
    }

    boolean hasRoomForClient() {
        return open < most && clients < CLIENT_PART * most;
    }
}
