package kitemux.fleet;

import java.util.List;
import kitemux.Balancer.ServerEntry;

/**
 * A node as seen by the front end, clients and discovery: either emulated or a process behind sockets. All
 * methods are called on the thread of the run's scheduler.
 */
public interface FleetNode {
    /** Returns whether the node's process accepts clients. */
    boolean isUp();

    /** Starts the process with the last announced list of servers. */
    void start();

    /** Kills the process: its requests are lost and its clients' connections break. */
    void kill();

    /** Notifies the node of changes to the list of servers. */
    void serversChanged(List<ServerEntry> entries);

    /** Accepts a client's try. */
    void submit(ClientTry clientTry);

    /** Notifies the node that a try has its answer. */
    void completed(ClientTry clientTry);

    /** Notifies the node that a try's client no longer waits. */
    void abandoned(ClientTry clientTry);

    /**
     * Handles the timeout of a try. An implementation over sockets first reads what has already arrived.
     *
     * @param afterUs the timeout since the try was sent, in microseconds of the run
     * @param abandon abandons the try; has no effect if it already has an answer
     */
    default void deadlineReached(ClientTry clientTry, long afterUs, Runnable abandon) {
        abandon.run();
    }

    /** Returns the node's statistics up to now. */
    Stats stats();

    /**
     * Statistics of a node.
     *
     * @param cpuUs processor time used, in microseconds
     * @param maxLagUs longest delay of an event by the busy processor, in microseconds
     * @param attempts requests sent to servers
     * @param connectionsOpened connections opened to servers
     */
    record Stats(double cpuUs, double maxLagUs, long attempts, long connectionsOpened) {}
}
