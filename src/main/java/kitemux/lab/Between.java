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
public interface Between {
    /** Nobody: parties meet as they listen. */
    Between NOBODY = new Between() {};

    /** Where clients reach a node. */
    default InetSocketAddress toNode(int node, InetSocketAddress listens) {
        return listens;
    }

    /** Where a node reaches a server. */
    default InetSocketAddress toBox(int node, String box, InetSocketAddress listens) {
        return listens;
    }

    /** Where a node reaches discovery. */
    default InetSocketAddress toList(int node, InetSocketAddress listens) {
        return listens;
    }

    /** The run begins: clients come from now on. */
    default void begins(Loopback.Live live) {}

    /** The run was behind its clock by so much, until now: what came meanwhile was seen late. */
    default void late(long byUs) {}

    /**
     * Does something once all that has come to a way by now was passed on, on any thread.
     */
    default void passedOn(Runnable then) {
        then.run();
    }

    /** For how long, in all, the ways have passed on nothing though they were to, in nanoseconds. */
    default long heldUpNanos() {
        return 0;
    }

    /** A node's process takes clients, or takes them again. */
    default void up(int node) {}

    /** A node's process was ended. */
    default void down(int node) {}

    /** A node's process wrote a line, at some time not long ago. */
    default void said(int node, String line) {}

    /** A client's try is on its way to a node. */
    default void asked(int node, ClientTry one) {}

    /** A client has written a try to a connection, one that was used before or a new one. */
    default void written(ClientTry one, boolean usedBefore) {}

    /** A connection ended under a try, with no byte of an answer. */
    default void broken(ClientTry one, boolean usedBefore) {}

    /** An answer has come whole. */
    default void answered(ClientTry one, int status, long retryAfterUs) {}

    /** A client waits no more for a try, and closes its connection. */
    default void left(ClientTry one) {}

    /** A connection to a server has come up. */
    default void connected(String box, InetSocketAddress from) {}

    /** A request has come whole to a server that runs, or to one that says nothing. */
    default void came(String box, InetSocketAddress from, ClientTry one, boolean runs) {}

    /** A server says how a request ended there. */
    default void told(String box, ClientTry one, Result result) {}

    /** The answer that a server gives to a try that it serves, where it is a long one; else null. */
    default LongAnswer longAnswer(String box, ClientTry one) {
        return null;
    }

    /** A server begins to give a long answer. */
    default void gives(String box, ClientTry one) {}

    /** It gives no more of it. */
    default void gave(String box, ClientTry one, LongAnswer.End how) {}

    /** A long answer begins to come to a client, which waits for the rest from now on, whatever its time. */
    default void begun(ClientTry one) {}

    /** A connection ended amid a long answer that had begun to come. */
    default void cutOff(ClientTry one) {}

    /** A server's process has begun, or ended, or gone on without a word. */
    default void box(String box, boolean up, boolean silent) {}

    /** Discovery writes a change to a node. */
    default void listed(int node, List<ServerEntry> entries) {}

    /** A node calls discovery, or watches it from now on. */
    default void called(int node, boolean watch) {}
}
