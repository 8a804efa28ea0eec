package kitemux.net;

/** Counts open sockets against the process's limit, so that no side takes what the other needs. */
public final class Sockets {
    /** Connections taken in one turn of the loop. Netty's sixteen were fewer than came while a turn took
     * 100 ms: clients gave up in the backlog, and the next turn met only those. More would need more
     * descriptors at once, before any can be closed to make room. */
    public static final int MOST_ACCEPTED = 64;
    /** Descriptors that the JVM, the jar, the listener and discovery hold, and those of new connections that
     * have been taken together and are looked at one by one. */
    private static final int RESERVED = 32 + MOST_ACCEPTED;
    /** The part that clients may hold at most; a request in work needs a connection to a server too. */
    private static final double CLIENT_PART = 0.6;

    /** The part of the limit that idle clients may hold: half of what clients may open for requests at all,
     * so that some can always be opened anew. */
    private static final double IDLE_PART = 1.0 / 6;

    private final int most;
    private final int mostIdleClients;
    private int open;
    private int clients;

    /**
     * None open yet.
     *
     * @param limit how many descriptors the process may hold
     */
    public Sockets(int limit) {
        most = Math.max(8, limit - RESERVED);
        mostIdleClients = (int) (IDLE_PART * limit);
    }

    /** One more to a server. */
    public void opened() {
        open++;
    }

    /** One to a server less. */
    public void closed() {
        open--;
    }

    /** One more from a client. */
    public void clientOpened() {
        open++;
        clients++;
    }

    /** One from a client less. */
    public void clientClosed() {
        open--;
        clients--;
    }

    /** How many clients' connections may be idle. */
    public int mostIdleClients() {
        return mostIdleClients;
    }

    /** Whether one more to a server may be opened. */
    public boolean hasRoomForServer() {
        return open < most;
    }

    /** Whether one more from a client may be kept. */
    public boolean hasRoomForClient() {
        return open < most && clients < CLIENT_PART * most;
    }

    /** Descriptors that are open now. */
    public int openCount() {
        return open;
    }
}
