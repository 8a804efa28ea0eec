package kitemux.rollout;

/**
 * How configuration is passed on: what may be tuned in a trial, and as constants what may not. Times are
 * microseconds, sizes bytes.
 *
 * @param heartbeatIntervalUs a watch on which nothing was sent for so long is sent a beat; 400 ms, two of which may be
 *     lost or late within the least patience
 * @param minWatchTimeoutUs a node gives up a watch that was silent for this long at least; 1 s
 * @param maxWatchTimeoutUs and at most, drawn for each watch, so that those of one keeper do not all dial at
 *     once; 1.6 s: with a dial that fails, a wait, a dial, catching up and a report 3.05 s of the 4 s
 * @param connectTimeoutUs a dial that has no answer for so long has failed; 0.5 s, three of the longest round trips
 * @param minBackoffUs before the next dial, drawn, at least; 50 ms
 * @param initialMaxBackoffUs and at most, while not all keepers were tried; 250 ms
 * @param maxBackoffUs it is doubled to this once all were tried; 2 s
 * @param noQuorumRetryUs a node whose keeper hears no majority tries another this often; 1 s: with 10 s it
 *     would not come within 4 s to a keeper that does
 * @param reportIntervalUs a node reports after each version, and this often; 10 s: 42 a second over eight keepers
 * @param reportTimeoutUs a node that reported nothing for so long counts as not heard; 25 s, two reports may be lost
 * @param minPhaseTimeoutUs a phase of a proposal is given up after this at least; 300 ms, twice the longest
 *     round trip
 * @param maxPhaseTimeoutUs and at most, drawn, so that two proposers do not hinder each other for ever; 600 ms
 * @param maxBallots ballots for one change; 5
 * @param proposalTimeoutUs and no further ballot after this; 2 s, half of the 4
 * @param fetchIntervalUs a keeper asks each other one for what it lacks this often; 400 ms, as a beat
 * @param voterTimeoutUs a voter counts as heard for so long after its last answer; 1.2 s, two pulses may be lost
 * @param recoveryDelayUs a voter that accepted something and does not hear that it was chosen proposes it again
 *     after one to two times this; 1 s: where the proposer has died, still within the 4 s
 * @param rateBytesPerSecond a watch is sent this much a second in the long run; 6,000, so that with what may go at
 *     once and the beats it is never over 16,384 in any 2 s (twice a node's 8 KB)
 * @param burstBytes and this much at once; 4,096, the largest change
 * @param initialBurstBytes and this much as it begins; 0, as nobody knows what the keeper before has sent
 * @param snapshotPartBytes a part of a whole configuration is about this long; 3,072, half a second of the pace,
 *     so that versions and beats do not wait
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
    /** Of a change as JSON: half a second of a node's 8 KB, and parsed in one turn. Beyond: refused, 400. */
    public static final int MAX_CHANGE_BYTES = 4_096;
    /** 11,000 tenants, 2,800 routes, 230 services and half as much again. Beyond: refused, 400. */
    public static final int MAX_PATH_COUNT = 20_000;
    /** Of paths and values together, twice what is expected (1.07 MB). Beyond: refused, 400. */
    public static final int MAX_CONFIGURATION_BYTES = 2 << 20;
    /** Of a path, in characters: a section, a slash and a name. Beyond: refused, 400. */
    public static final int MAX_PATH_LENGTH_CHARS = 128;
    /** A line's end and what HTTP puts round a chunk, counted with each line of a watch. */
    public static final int EVENT_FRAMING_BYTES = 9;
    /** Versions that are kept one by one: four days of 240. Who is older is sent the whole. */
    public static final int MAX_HISTORY_VERSION_COUNT = 1_024;
    /**
     * Unwritten bytes of a watch, some ten seconds of the pace. Beyond: the carrier ends it; the node asks
     * anew.
     */
    public static final int MAX_UNWRITTEN_BYTES = 64 << 10;
    /** Watches of a keeper: half of 420 nodes, so that two of eight serve all. Beyond: 503. */
    public static final int MAX_WATCH_COUNT = 210;
    /** Changes that wait behind the one that is proposed: a script that loops. Beyond: 503. */
    public static final int MAX_QUEUED_CHANGE_COUNT = 16;
    /** Versions that one answer between keepers brings; with the largest changes 64 KiB. */
    public static final int MAX_RESPONSE_VERSION_COUNT = 16;
    /** Rows of an inventory: a fleet of twice the size. Beyond: the report is not taken in. */
    public static final int MAX_NODE_COUNT = 1_024;
    /** Voters, so that any two may be gone. */
    public static final int MAX_VOTER_COUNT = 5;
    /** Paths and faults that a report tells of each; the first ones stand for the rest. */
    public static final int MAX_REPORTED_COUNT = 16;

    /** Those of the design. */
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
