package kitemux.lab;

import java.net.InetSocketAddress;
import java.util.List;
import kitemux.Balancer.Result;
import kitemux.Balancer.ServerEntry;
import kitemux.fleet.ClientTry;

/**
 * Intercepts and observes a run over sockets. It decides the address under which each party reaches another one, is
 * notified of what the parties do, and may give servers long answers to send. All methods are called on the run's
 * thread with the run's time, unless stated otherwise; the defaults change nothing and ignore notifications.
 */
public interface RunInterceptor {
    /** An interceptor that changes nothing: parties connect to each other directly. */
    RunInterceptor NONE = new RunInterceptor() {};

    /**
     * Returns the address at which clients reach a node.
     *
     * @param listenAddress the address at which the node listens
     */
    default InetSocketAddress nodeAddress(int node, InetSocketAddress listenAddress) {
        return listenAddress;
    }

    /**
     * Returns the address at which a node reaches a server.
     *
     * @param listenAddress the address at which the server listens
     */
    default InetSocketAddress boxAddress(int node, String box, InetSocketAddress listenAddress) {
        return listenAddress;
    }

    /**
     * Returns the address at which a node reaches discovery.
     *
     * @param listenAddress the address at which discovery listens
     */
    default InetSocketAddress discoveryAddress(int node, InetSocketAddress listenAddress) {
        return listenAddress;
    }

    /** The run has started: clients send requests from now on. */
    default void runStarted(LoopbackRun.RunControl control) {}

    /**
     * The run was behind its clock until now, so what arrived in that time was observed late.
     *
     * @param delayUs how far the run was behind, in microseconds
     */
    default void runDelayed(long delayUs) {}

    /** Runs a task once all data that has reached a relay by now has been forwarded; the task runs on any thread. */
    default void runAfterPendingTraffic(Runnable task) {
        task.run();
    }

    /** Returns the total time in which relays forwarded nothing although they should have, in nanoseconds. */
    default long totalStallNanos() {
        return 0;
    }

    /** A node's process accepts clients, for the first time or again. */
    default void nodeStarted(int node) {}

    /** A node's process was killed. */
    default void nodeStopped(int node) {}

    /**
     * A node's process has written a line of output; the line may have been written a short time before the call.
     */
    default void nodeOutput(int node, String line) {}

    /** A client sends a try to a node. */
    default void trySubmitted(int node, ClientTry clientTry) {}

    /**
     * A client has written a try to a connection.
     *
     * @param usedBefore whether the connection has carried an earlier request
     */
    default void tryWritten(ClientTry clientTry, boolean usedBefore) {}

    /**
     * A connection ended before any byte of the answer to its try was received.
     *
     * @param usedBefore whether the connection has carried an earlier request
     */
    default void connectionLost(ClientTry clientTry, boolean usedBefore) {}

    /**
     * A complete answer was received.
     *
     * @param retryAfterUs the Retry-After time of the answer in microseconds; 0 without one
     */
    default void answerReceived(ClientTry clientTry, int status, long retryAfterUs) {}

    /** A client no longer waits for a try, and closes its connection. */
    default void tryAbandoned(ClientTry clientTry) {}

    /** A connection to a server was established. */
    default void boxConnected(String box, InetSocketAddress from) {}

    /**
     * A complete request was received by a server that is running or silent.
     *
     * @param isUp whether the server processes requests; false while it is silent
     */
    default void requestReceived(String box, InetSocketAddress from, ClientTry clientTry, boolean isUp) {}

    /** A server has finished a request with a result. */
    default void requestCompleted(String box, ClientTry clientTry, Result result) {}

    /** Returns the long answer that a server sends to a try that it serves, or null for an ordinary answer. */
    default LongAnswer longAnswer(String box, ClientTry clientTry) {
        return null;
    }

    /** A server starts to send a long answer. */
    default void longAnswerStarted(String box, ClientTry clientTry) {}

    /** A server has stopped sending a long answer. */
    default void longAnswerEnded(String box, ClientTry clientTry, LongAnswer.End end) {}

    /**
     * The head of a long answer was received. The client waits for the rest from now on, whatever the deadline of its
     * try.
     */
    default void longAnswerReceiving(ClientTry clientTry) {}

    /** A connection ended while a long answer was being received. */
    default void longAnswerCutOff(ClientTry clientTry) {}

    /** A server's process has started, ended or become silent. */
    default void boxStateChanged(String box, boolean up, boolean silent) {}

    /** Discovery sends a change to a node. */
    default void discoveryUpdateSent(int node, List<ServerEntry> entries) {}

    /**
     * A node sends a request to discovery.
     *
     * @param watch whether the request opens a watch
     */
    default void discoveryRequested(int node, boolean watch) {}
}
