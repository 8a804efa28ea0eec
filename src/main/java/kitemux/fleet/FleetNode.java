package kitemux.fleet;

import java.util.List;
import kitemux.Balancer.ServerEntry;

/**
 * A node as the front, clients and discovery see it: emulated, or a process behind sockets. All is called on
 * the thread that the run's time has.
 */
public interface FleetNode {
    /** Whether its process takes clients. */
    boolean isUp();

    /** Begins to serve, with the list as it was last told. */
    void start();

    /** It is killed: what it held is gone, and its clients' connections break. */
    void kill();

    /** Discovery tells of servers. */
    void serversChanged(List<ServerEntry> entries);

    /** A client's try has come. */
    void submit(ClientTry asked);

    /** A try has its answer. */
    void completed(ClientTry asked);

    /** A try's client waits no more. */
    void abandoned(ClientTry asked);

    /**
     * The time of a try's client is over. Where sockets lie between them, it first looks at what has come.
     *
     * @param afterUs so long after it was asked, by the run's time
     * @param leaves does what is done by a client that has no answer; without effect for one that has
     */
    default void deadlineReached(ClientTry asked, long afterUs, Runnable leaves) {
        leaves.run();
    }

    /** What it did so far. */
    Stats stats();

    /**
     * What a node did.
     *
     * @param cpuUs processor time
     * @param maxLagUs the longest that it was behind
     * @param attempts requests sent to servers
     * @param connectionsOpened connections opened to servers
     */
    record Stats(double cpuUs, double maxLagUs, long attempts, long connectionsOpened) {}
}
