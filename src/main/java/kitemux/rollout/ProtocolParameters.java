package kitemux.rollout;

/**
 * Timing and rates of the protocol as parameters, and its fixed limits as constants. With the default
 * values, a change is in force within 4 s at each node that can reach a keeper with a majority. Times are in
 * microseconds, sizes in bytes.
 *
 * @param heartbeatIntervalUs a heartbeat is sent on a watch after this time without any other event; 400
 *     ms, so that two heartbeats may be lost or late within the shortest watch timeout
 * @param minWatchTimeoutUs shortest silence after which a node closes a watch; 1 s
 * @param maxWatchTimeoutUs longest such silence; it is drawn for each watch, so that the nodes of one
 *     keeper do not all reconnect at once; 1.6 s, which with a failed connection attempt, a backoff, a
 *     second attempt, catching up and a report takes 3.05 s of the 4 s
 * @param connectTimeoutUs a connection attempt without answer fails after this time; 0.5 s, three times the
 *     longest round trip
 * @param minBackoffUs shortest backoff before the next connection attempt; 50 ms
 * @param initialMaxBackoffUs longest backoff while some keeper has not been tried yet; 250 ms
 * @param maxBackoffUs limit to which the longest backoff doubles each time that all keepers have been
 *     tried; 2 s
 * @param noQuorumRetryUs interval at which a node tries another keeper while its own reaches no majority; 1
 *     s, as with 10 s it would not find a keeper that does within the 4 s
 * @param reportIntervalUs interval of a node's reports, which it also sends after each version; 10 s, which
 *     makes 42 reports a second over eight keepers
 * @param reportTimeoutUs age of the last report from which a node counts as silent; 25 s, so that two
 *     reports may be lost
 * @param minPhaseTimeoutUs shortest timeout of a phase of a proposal; 300 ms, twice the longest round trip
 * @param maxPhaseTimeoutUs longest timeout of a phase; it is drawn, so that two proposers do not obstruct
 *     each other for ever; 600 ms
 * @param maxBallots most ballots for one change; 5
 * @param proposalTimeoutUs time after which no further ballot is started for a change; 2 s, half of the 4 s
 * @param fetchIntervalUs interval at which a keeper asks each other one for versions that it lacks; 400 ms,
 *     as for heartbeats
 * @param voterTimeoutUs a voter counts as reachable for this time after its last response; 1.2 s, so that
 *     two responses may be lost
 * @param recoveryDelayUs a voter proposes a value that it has accepted again if it does not learn within
 *     one to two times this delay that it was chosen; 1 s, which is still within the 4 s if the proposer
 *     has died
 * @param rateBytesPerSecond sustained rate of a watch; 6,000, so that together with the burst and the
 *     heartbeats it never exceeds 16,384 bytes in any 2 s (twice the 8 KB a second of a node)
 * @param burstBytes bytes that may be sent on a watch at once; 4,096, the size of the largest change
 * @param initialBurstBytes bytes that may be sent at once on a new watch; 0, as it is not known what the
 *     keeper before has sent
 * @param snapshotPartBytes approximate size of a part of a snapshot; 3,072, half a second of the sustained
 *     rate, so that versions and heartbeats are not delayed
 */
public record ProtocolParameters(
        long heartbeatIntervalUs,
        long minWatchTimeoutUs,
        long maxWatchTimeoutUs,
        long connectTimeoutUs,
        long minBackoffUs,
        long initialMaxBackoffUs,
        long maxBackoffUs,
        long noQuorumRetryUs,
        long reportIntervalUs,
        long reportTimeoutUs,
        long minPhaseTimeoutUs,
        long maxPhaseTimeoutUs,
        int maxBallots,
        long proposalTimeoutUs,
        long fetchIntervalUs,
        long voterTimeoutUs,
        long recoveryDelayUs,
        long rateBytesPerSecond,
        long burstBytes,
        long initialBurstBytes,
        int snapshotPartBytes) {
    /**
     * Limit of a change as JSON: half a second of a node's 8 KB a second, and short enough to be parsed in
     * one turn of the loop. Longer ones are rejected with status 400.
     */
    public static final int MAX_CHANGE_BYTES = 4_096;
    /**
     * Limit of the paths of a configuration: 11,000 tenants, 2,800 routes and 230 services, and half as
     * many again. A change that exceeds it is rejected with status 400.
     */
    public static final int MAX_PATH_COUNT = 20_000;
    /**
     * Limit of all paths and values of a configuration together: twice the expected 1.07 MB. A change that
     * exceeds it is rejected with status 400.
     */
    public static final int MAX_CONFIGURATION_BYTES = 2 << 20;
    /**
     * Limit of a path, which consists of a section, a slash and a name. A change with a longer one is
     * rejected with status 400.
     */
    public static final int MAX_PATH_LENGTH_CHARS = 128;
    /** The line end and the framing of an HTTP chunk, which are added to the size of each event. */
    public static final int EVENT_FRAMING_BYTES = 9;
    /**
     * Versions that are kept individually: four days with 240 changes each. A keeper or node that is
     * further behind receives a snapshot.
     */
    public static final int MAX_HISTORY_VERSION_COUNT = 1_024;
    /**
     * Limit of the bytes of a watch that wait to be written, about ten seconds of the sustained rate.
     * Beyond it the host closes the watch, and the node opens a new one.
     */
    public static final int MAX_UNWRITTEN_BYTES = 64 << 10;
    /**
     * Limit of the watches of a keeper: half of 420 nodes, so that two of eight keepers can serve all.
     * Further ones are rejected with status 503.
     */
    public static final int MAX_WATCH_COUNT = 210;
    /**
     * Limit of the changes that wait behind the one being proposed, which guards against a script that
     * loops. Further ones are rejected with status 503.
     */
    public static final int MAX_QUEUED_CHANGE_COUNT = 16;
    /** Limit of the versions in one response between keepers; 64 KiB with the largest changes. */
    public static final int MAX_RESPONSE_VERSION_COUNT = 16;
    /**
     * Limit of the nodes in an inventory: twice the size of the fleet. Reports of further nodes are
     * rejected.
     */
    public static final int MAX_NODE_COUNT = 1_024;
    /** Limit of the voters. With five, any two may fail. */
    public static final int MAX_VOTER_COUNT = 5;
    /** Limit of the paths and of the errors that a report lists; only the first ones are listed. */
    public static final int MAX_REPORTED_COUNT = 16;

    /** Returns the default parameters. */
    public static ProtocolParameters defaults() {
        return new ProtocolParameters(
                400_000,
                1_000_000,
                1_600_000,
                500_000,
                50_000,
                250_000,
                2_000_000,
                1_000_000,
                10_000_000,
                25_000_000,
                300_000,
                600_000,
                5,
                2_000_000,
                400_000,
                1_200_000,
                1_000_000,
                6_000,
                4_096,
                0,
                3_072);
    }
}
