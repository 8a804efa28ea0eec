package kitemux.app;

import java.util.List;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RetrySafety;

/**
 * An application and the servers behind it, as its owner describes them. Times are microseconds.
 *
 * @param name what it is called
 * @param listenAddress where its clients connect
 * @param operatorAddress where operators call; empty for nowhere
 * @param discoveryAddress where the list of servers is; empty where they are described here
 * @param neverTwiceClasses classes that the owner says must never run twice, wherever else they are named
 * @param journalRequired whether never-twice work must be journaled before it is sent
 * @param health null where servers are not checked
 * @param rangeFindings numbers that lie beyond their ranges, as they were read: where there is one it is not sound
 */
public record App(
        String name,
        String listenAddress,
        String operatorAddress,
        String discoveryAddress,
        List<String> networks,
        List<String> neverTwiceClasses,
        boolean journalRequired,
        List<Server> servers,
        List<Pool> pools,
        List<RequestClass> classes,
        List<Tenant> tenants,
        double quotaPerS,
        Keys keys,
        Members members,
        Health health,
        Limits limits,
        Rules rules,
        Journal journal,
        Logs logs,
        List<Finding> rangeFindings) {

    /** What a server is up to. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    /** A server, in a group that drops keyed repeats elsewhere. */
    public record Server(String name, String address, int rack, State state) {}

    /** Servers that serve the same classes. */
    public record Pool(String name, List<String> servers) {}

    /**
     * A class of requests.
     *
     * @param pool that serves it; empty for the only one
     * @param dedupWindowUs within which a keyed one may be sent again
     * @param maxAttempts at most; 0 for as many as the limits allow
     */
    public record RequestClass(
            String name,
            RetrySafety retrySafety,
            DedupScope dedupScope,
            long dedupWindowUs,
            long targetLatencyUs,
            long deadlineUs,
            double worth,
            double lateWorth,
            String pool,
            int maxAttempts,
            boolean hedgingAllowed) {}

    /** Who asks, and its part of the quota. */
    public record Tenant(String name, double share) {}

    /**
     * What servers know of keys.
     *
     * @param keptUs how long they remember one
     * @param shared by which servers it is known
     */
    public record Keys(long keptUs, DedupScope shared) {}

    /**
     * Where servers come from, besides those that are described.
     *
     * @param file that is watched; empty for none
     * @param list address of a list; empty for none
     * @param refreshUs between two looks at the list
     * @param backOffUs longest pause after it has failed
     * @param mostLost share of the servers that may be missing at once
     * @param sureUs what is doubted counts once it has been told for so long
     * @param state folder for what the next process may begin with; empty for none
     */
    public record Members(
            String file, String list, long refreshUs, long backOffUs, double mostLost, long sureUs, String state) {}

    /** How servers are checked; {@link kitemux.members.MemberSettings.Health} has the decisions' part. */
    public record Health(
            String path,
            long everyUs,
            long timeoutUs,
            int fall,
            int rise,
            double mostOut,
            long holdUs,
            long mostHoldUs) {}

    /**
     * What a sidecar says.
     *
     * @param queue lines that wait to be written, at most
     */
    public record Logs(boolean json, int queue) {}

    /**
     * Whether a server may have this address: one that can be read, lies within networks and is not this
     * process.
     */
    public boolean isServerAddressAllowed(String address) {
        return !address.equals(listenAddress) && AppValidator.isAllowed(address, networks);
    }

    /** Where lists of servers come from besides this description: a file or an address; empty for nowhere. */
    public String serverSource() {
        return members.file().isEmpty() ? members.list() : members.file();
    }

    /** Bounds of a process. */
    public record Limits(
            int attempts,
            boolean secondCopies,
            long connectUs,
            long idleUs,
            long retryAfterUs,
            int sockets,
            int memoryMiB) {}

    /** What servers need of those who send to them. */
    public record Rules(long drainUs, double coldFrom, long coldUs, double overload, long fallUs) {}

    /** Where orders are journaled; an empty folder for nowhere. */
    public record Journal(String folder, long lateUs) {}
}
