package kitemux.lab;

import java.net.InetSocketAddress;
import java.util.List;
import kitemux.Balancer.Result;
import kitemux.Balancer.ServerEntry;
import kitemux.fleet.ClientTry;

/**
 * Who stands between the parties of a run over sockets, and looks on: where each party is told that another
 * one listens, and what they do. All is called on the run's thread, at the run's time; what is not of
 * interest
 * is left as it is.
 */
public interface RunInterceptor {
    /** Nobody: parties meet as they listen. */
    RunInterceptor NONE = new RunInterceptor() {};

    /** Where clients reach a node. */
    default InetSocketAddress nodeAddress(int node, InetSocketAddress listens) {
        return listens;
    }

    /** Where a node reaches a server. */
    default InetSocketAddress boxAddress(int node, String box, InetSocketAddress listens) {
        return listens;
    }

    /** Where a node reaches discovery. */
    default InetSocketAddress discoveryAddress(int node, InetSocketAddress listens) {
        return listens;
    }

    /** The run begins: clients come from now on. */
    default void runStarted(LoopbackRun.RunControl live) {}

    /** The run was behind its clock by so much, until now: what came meanwhile was seen late. */
    default void runDelayed(long byUs) {}

    /**
     * Does something once all that has come to a way by now was passed on, on any thread.
     */
    default void runAfterPendingTraffic(Runnable then) {
        then.run();
    }

    /** For how long, in all, the ways have passed on nothing though they were to, in nanoseconds. */
    default long totalStallNanos() {
        return 0;
    }

    /** A node's process takes clients, or takes them again. */
    default void nodeStarted(int node) {}

    /** A node's process was ended. */
    default void nodeStopped(int node) {}

    /** A node's process wrote a line, at some time not long ago. */
    default void nodeOutput(int node, String line) {}

    /** A client's try is on its way to a node. */
    default void trySubmitted(int node, ClientTry one) {}

    /** A client has written a try to a connection, one that was used before or a new one. */
    default void tryWritten(ClientTry one, boolean usedBefore) {}

    /** A connection ended under a try, with no byte of an answer. */
    default void connectionLost(ClientTry one, boolean usedBefore) {}

    /** An answer has come whole. */
    default void answerReceived(ClientTry one, int status, long retryAfterUs) {}

    /** A client waits no more for a try, and closes its connection. */
    default void tryAbandoned(ClientTry one) {}

    /** A connection to a server has come up. */
    default void boxConnected(String box, InetSocketAddress from) {}

    /** A request has come whole to a server that runs, or to one that says nothing. */
    default void requestReceived(String box, InetSocketAddress from, ClientTry one, boolean runs) {}

    /** A server says how a request ended there. */
    default void requestCompleted(String box, ClientTry one, Result result) {}

    /** The answer that a server gives to a try that it serves, where it is a long one; else null. */
    default LongAnswer longAnswer(String box, ClientTry one) {
        return null;
    }

    /** A server begins to give a long answer. */
    default void longAnswerStarted(String box, ClientTry one) {}

    /** It gives no more of it. */
    default void longAnswerEnded(String box, ClientTry one, LongAnswer.End how) {}

    /** A long answer begins to come to a client, which waits for the rest from now on, whatever its time. */
    default void longAnswerReceiving(ClientTry one) {}

    /** A connection ended amid a long answer that had begun to come. */
    default void longAnswerCutOff(ClientTry one) {}

    /** A server's process has begun, or ended, or gone on without a word. */
    default void boxStateChanged(String box, boolean up, boolean silent) {}

    /** Discovery writes a change to a node. */
    default void discoveryUpdateSent(int node, List<ServerEntry> entries) {}

    /** A node calls discovery, or watches it from now on. */
    default void discoveryRequested(int node, boolean watch) {}
}
