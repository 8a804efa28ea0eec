package kitemux.http;

import java.net.SocketAddress;

/**
 * Told what becomes of clients' connections, on the loop's thread. It must neither block nor throw. Connections
 * are numbered from 1 in the order in which a process accepted them. All methods do nothing unless overridden.
 */
public interface ConnectionObserver {
    /** Told of nothing. */
    ConnectionObserver NONE = new ConnectionObserver() {};

    /** A connection was accepted from this client. */
    default void connectionAccepted(long connection, SocketAddress client) {}

    /** A request with this id was read whole and is served from now on. */
    default void requestReceived(long connection, String txn) {}

    /** A phase of the shutdown begins. */
    default void shutdownPhaseEntered(ShutdownPhase phase) {}

    /** A connection has ended. */
    default void connectionClosed(long connection, CloseReason reason) {}
}
