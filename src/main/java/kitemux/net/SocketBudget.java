package kitemux.net;

/** Counts open sockets against the process's limit, so that no side takes what the other needs. */
public final class SocketBudget {
    /** Connections taken in one turn of the loop. Netty's sixteen were fewer than came while a turn took
     * 100 ms: clients gave up in the backlog, and the next turn met only those. More would need more
     * descriptors at once, before any can be closed to make room. */
    public static final int MAX_ACCEPTS_PER_TURN = 64;
    /** Descriptors that the JVM, the jar, the listener and discovery hold, and those of new connections that
     * have been taken together and are looked at one by one. */
    private static final int RESERVED = 32 + MAX_ACCEPTS_PER_TURN;
    /** The part that clients may keep; a request in work needs a connection to a server too. */
    private static final double CLIENT_PART = 0.6;
    /** The part that clients may hold while each beyond {@link #CLIENT_PART} is let go with its next
     * answer: what has come on it is owed one, so it cannot be closed, and the rest is for connections
     * to servers. Beyond this part they are turned away, from what is kept for connections that are
     * taken together. */
    private static final double CROWDED_PART = 0.75;

    /** The part of the limit that idle clients may hold: half of what clients may open for requests at all,
     * so that some can always be opened anew. */
    private static final double IDLE_PART = 1.0 / 6;

    private final int most;
    private final int maxIdleClients;
    private int open;
    private int clients;
    /** Taken in together and not looked at yet: those that were looked at must not make room for them. */
    private int taken;
    /** Looked at and turned away; they end with their answer. */
    private int leaving;

    /**
     * None open yet.
     *
     * @param limit how many descriptors the process may hold
     */
    public SocketBudget(int limit) {
        most = Math.max(8, limit - RESERVED);
        maxIdleClients = (int) (IDLE_PART * limit);
    }

    /** One more to a server. */
    public void serverConnectionOpened() {
        open++;
    }

    /** One to a server less. */
    public void serverConnectionClosed() {
        open--;
    }

    /** One more from a client was taken in; it is {@link #clientRegistered} in the same turn of the loop. */
    public void clientAccepted() {
        open++;
        taken++;
    }

    /** One that was taken in is looked at. */
    public void clientRegistered() {
        taken--;
        clients++;
    }

    /** One that was looked at is turned away. */
    public void clientRejected() {
        leaving++;
    }

    /** One that was turned away is {@link #clientClosed}. */
    public void rejectedClientClosed() {
        leaving--;
    }

    /** One from a client less. */
    public void clientClosed() {
        open--;
        clients--;
    }

    /** How many clients' connections may be idle. */
    public int maxIdleClients() {
        return maxIdleClients;
    }

    /**
     * Whether one more to a server may be opened. What is taken together is kept for those that are looked at
     * one by one or turned away: a burst of them would else leave those that are served no server, and all
     * would be refused.
     */
    public boolean canOpenServerConnection() {
        return open - Math.min(MAX_ACCEPTS_PER_TURN, taken + leaving) < most;
    }

    /** Whether one more from a client may be taken at all, be it to turn it away. */
    public boolean canAcceptClient() {
        return clients + taken < CROWDED_PART * most + MAX_ACCEPTS_PER_TURN;
    }

    /** Whether one that was taken may be served. */
    public boolean canServeClient() {
        return clients <= CROWDED_PART * most;
    }

    /** Whether one that was taken may be kept for further requests. */
    public boolean canKeepClient() {
        return open - taken <= most && clients <= CLIENT_PART * most;
    }

    /** Descriptors that are open now. */
    public int openCount() {
        return open;
    }
}
