package kitemux.http;

import java.net.SocketAddress;

/**
 * Receives the events of client connections on the event loop's thread. Implementations must neither block nor
 * throw. Connections are numbered from 1 in the order in which the process accepted them. All methods do
 * nothing by default.
 */
public interface ConnectionObserver {
    /** An observer that ignores all events. */
    ConnectionObserver NONE = new ConnectionObserver() {};

    /** Called when a connection from this client address was accepted. */
    default void connectionAccepted(long connection, SocketAddress client) {}

    /** Called when the request with this transaction id was received completely and is about to be dispatched. */
    default void requestReceived(long connection, String txn) {}

    /** Called when reading from a connection is paused; its end is not noticed until reading resumes. */
    default void readingPaused(long connection) {}

    /** Called when reading from a paused connection resumes. */
    default void readingResumed(long connection) {}

    /** Called when a phase of the shutdown begins. */
    default void shutdownPhaseEntered(ShutdownPhase phase) {}

    /** Called when a connection was closed. */
    default void connectionClosed(long connection, ClientClose close) {}
}
