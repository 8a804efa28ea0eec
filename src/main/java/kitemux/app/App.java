package kitemux.app;

import java.util.List;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RetrySafety;

/**
 * The description of an application and of the servers behind it. Durations are in microseconds, addresses have
 * the form {@code IP:port}.
 *
 * <p>{@link Differences} prints {@link Keys}, {@link Members}, {@link Health}, {@link Limits}, {@link Rules},
 * {@link Journal} and {@link Logs} in their string form: the names of these records and of their components are
 * part of the output of {@code config diff}.
 *
 * @param name name of the application
 * @param listenAddress address that clients connect to
 * @param operatorAddress address of the operators' interface; empty if there is none
 * @param discoveryAddress address of the platform's list of servers; empty if the platform does not provide one
 * @param networks networks in CIDR notation that server addresses must belong to; empty for any
 * @param neverTwiceClasses names of the classes that must never run twice; a class in this list that is described
 *     as retryable is an error
 * @param journalRequired whether never-twice requests must be journaled before they are sent
 * @param quotaPerS requests per second of all tenants together; 0 for no limit
 * @param health health checks of servers; null if servers are not checked
 * @param journal the order journal
 * @param rangeFindings findings for numbers outside their ranges; a description with any is invalid
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

    /** Lifecycle state of a server. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    /**
     * A server.
     *
     * @param rack rack of the server; servers in the same rack recognise the same idempotency keys
     */
    public record Server(String name, String address, int rack, State state) {}

    /**
     * A pool: servers that serve the same request classes.
     *
     * @param servers names of the servers
     */
    public record Pool(String name, List<String> servers) {}

    /**
     * A class of requests.
     *
     * @param retrySafety whether requests of the class may run more than once
     * @param dedupScope servers that drop repeats of a keyed request
     * @param dedupWindowUs period within which a keyed request may be retried
     * @param targetLatencyUs answers within this time count as in time
     * @param deadlineUs time after which a request is abandoned
     * @param worth value of an answer in time, relative to other classes
     * @param lateWorth share of {@code worth} that an answer after the target is worth, 0 to 1
     * @param pool name of the pool that serves the class; empty for the only pool
     * @param maxAttempts maximum number of attempts; 0 for the limit of the process
     * @param hedgingAllowed whether a request may have two attempts in flight at once
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

    /**
     * A tenant.
     *
     * @param share share of the quota, above 0 and at most 1
     */
    public record Tenant(String name, double share) {}

    /**
     * How servers store idempotency keys.
     *
     * @param keptUs how long a server remembers a key
     * @param shared servers that share a key
     */
    public record Keys(long keptUs, DedupScope shared) {}

    /**
     * Sources of servers other than the description itself.
     *
     * @param file path of a list of servers that is watched for changes; empty for none
     * @param list URL of a list of servers; empty for none
     * @param refreshUs interval between two requests for the list
     * @param backOffUs maximum interval between requests after failures
     * @param mostLost share of the servers that may be missing from a list at once, 0 to 1; if more are missing, they are
     *     kept until {@code sureUs} has passed
     * @param sureUs how long such servers must be missing before they are removed
     * @param state folder in which the process stores the known servers for its successor; empty for none
     */
    public record Members(
            String file, String list, long refreshUs, long backOffUs, double mostLost, long sureUs, String state) {}

    /**
     * Health checks of servers; {@link kitemux.members.MemberSettings.HealthCheck} has the settings of the ejection
     * decisions.
     *
     * @param path path that is requested from each server
     * @param everyUs interval between two checks of a server
     * @param timeoutUs time after which a check fails
     * @param fall number of consecutive failures after which a server is ejected
     * @param rise number of consecutive passes after which an ejected server is restored
     * @param mostOut share of the servers that may be ejected at once, in [0, 1)
     * @param holdUs minimum duration of an ejection; doubled each time the server is ejected again
     * @param mostHoldUs upper bound of that minimum
     */
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
     * Log output of a sidecar.
     *
     * @param json whether lines are written as JSON instead of text
     * @param queue maximum number of lines that wait to be written
     */
    public record Logs(boolean json, int queue) {}

    /**
     * Whether a server may have this address: it must be valid, belong to one of {@link #networks} and differ from
     * {@link #listenAddress}.
     */
    public boolean isServerAddressAllowed(String address) {
        return !address.equals(listenAddress) && AppValidator.isAddressAllowed(address, networks);
    }

    /** The file or URL that lists the servers; empty if the description itself or the platform provides them. */
    public String serverSource() {
        return members.file().isEmpty() ? members.list() : members.file();
    }

    /**
     * Limits of a process.
     *
     * @param attempts maximum number of attempts for a request
     * @param secondCopies whether a request may have two attempts in flight at once
     * @param connectUs timeout for opening a connection
     * @param idleUs time after which servers close idle connections
     * @param retryAfterUs maximum retry delay that clients are advised; 0 for no advice
     * @param sockets maximum number of file descriptors
     * @param memoryMiB memory of the process in MiB
     */
    public record Limits(
            int attempts,
            boolean secondCopies,
            long connectUs,
            long idleUs,
            long retryAfterUs,
            int sockets,
            int memoryMiB) {}

    /**
     * What servers require of their clients.
     *
     * @param drainUs time after which a draining server must not receive new requests
     * @param coldFrom share of its capacity with which a server starts, above 0 and at most 1
     * @param coldUs time until a started server has its full capacity
     * @param overload multiple of its current capacity that a cold server can receive without failing
     * @param fallUs period over which that load is measured
     */
    public record Rules(long drainUs, double coldFrom, long coldUs, double overload, long fallUs) {}

    /**
     * The order journal.
     *
     * @param folder folder of the journal; empty for no journal
     * @param lateUs how long a send waits for its journal entry
     */
    public record Journal(String folder, long lateUs) {}
}
