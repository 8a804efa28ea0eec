package kitemux.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The deadline and the sequence of process changes that a seed determines. Times are in milliseconds.
 *
 * @param seed of the random choices
 * @param deadlineMs longest deadline of a request class
 * @param steps process changes in their order
 * @param crowdCount number of clients that write slowly, stop within a request, read slowly and leave; 0 for no crowd
 * @param isHeldUp whether the process is held up before each change, so that what clients write comes at once
 * @param hasLateConnections whether connections to a server come up late
 * @param isShortOfTcpMemory whether the system is short of memory for TCP throughout
 * @param disruptions what comes beside each of the steps; empty for nothing
 * @param stoppingClientCount number of clients that stop within requests and stay
 */
record Plan(
        long seed,
        long deadlineMs,
        List<Step> steps,
        int crowdCount,
        boolean isHeldUp,
        boolean hasLateConnections,
        boolean isShortOfTcpMemory,
        List<Disruption> disruptions,
        int stoppingClientCount) {
    private static final double MIN_DEADLINE_MS = 250;
    private static final double MAX_DEADLINE_MS = 3_500;
    private static final int MAX_SIGHUP_COUNT = 4;
    /** Sizes of a crowd; the largest takes all descriptors of a node for its clients. */
    private static final List<Integer> CROWD_COUNTS = List.of(150, 420, 760);
    /** One of so many seeds has a crowd. */
    private static final int CROWD_INTERVAL_SEEDS = 3;
    /** One of so many seeds has the system short of memory for TCP. */
    private static final int TCP_MEMORY_INTERVAL_SEEDS = 4;

    private static final int STOPPING_CLIENT_COUNT = 8;
    /** Draws the disruptions apart, so that all else of a seed stays as it is. */
    private static final long DISRUPTION_SEED_MASK = 0x5851f42d4c957f2dL;

    /** How one process of the node is replaced. */
    enum Kind {
        /**
         * A second process starts; once it is ready, the first gets SIGTERM, and SIGKILL at the earliest time
         * that the platform allows.
         */
        UPGRADE,
        /** The process gets SIGTERM, and SIGKILL at the earliest allowed time; then a new one starts. */
        RESTART,
        /** The process gets SIGKILL without warning; then a new one starts. */
        KILL,
        /** A second process gets SIGTERM while it starts; the first one keeps running. */
        TERM_IN_START
    }

    /**
     * One change of a process.
     *
     * @param kind how the process is replaced
     * @param hangingServerCount number of servers that stop answering from SIGTERM on
     * @param burstAfterMs time after SIGTERM at which all paused clients send at once; negative for never
     * @param sighupCount number of SIGHUPs right before SIGTERM, and again right after it
     * @param sendsTermTwice whether SIGTERM is sent twice
     * @param termAfterMs for {@link Kind#TERM_IN_START}: time between the start and SIGTERM
     */
    record Step(
            Kind kind,
            int hangingServerCount,
            long burstAfterMs,
            int sighupCount,
            boolean sendsTermTwice,
            long termAfterMs) {}

    /**
     * What comes beside a change of processes.
     *
     * @param drainedServer index of a server that discovery says drains before it goes down, until the change is over; -1 for
     *     none
     * @param drainsClients whether clients are drained by hand over the change
     * @param isDrainCalledAtSuccessor whether that is called at the successor, once it is ready
     */
    record Disruption(int drainedServer, boolean drainsClients, boolean isDrainCalledAtSuccessor) {
        static final Disruption NONE = new Disruption(-1, false, false);
    }

    /** Returns what comes beside a step. */
    Disruption disruptionAt(int step) {
        return isDisrupted() ? disruptions.get(step) : Disruption.NONE;
    }

    /** Returns whether discovery, operators and clients that stop play a part. */
    boolean isDisrupted() {
        return !disruptions.isEmpty();
    }

    /**
     * Draws the plan of a seed.
     *
     * @param seed of the random choices
     * @param kinds changes to choose from
     * @param stepCount number of changes
     * @param serverCount number of servers of the run
     * @param isDisrupted whether discovery, operators and clients that stop play a part
     */
    static Plan draw(long seed, List<Kind> kinds, int stepCount, int serverCount, boolean isDisrupted) {
        SplittableRandom random = new SplittableRandom(seed);
        double logRange = Math.log(MAX_DEADLINE_MS / MIN_DEADLINE_MS);
        long deadlineMs = (long) (MIN_DEADLINE_MS * Math.exp(random.nextDouble() * logRange));
        List<Step> drawnSteps = new ArrayList<>();
        for (int i = 0; i < stepCount; i++) {
            long shutdownMs = Math.min(deadlineMs, SoakNode.MAX_DEADLINE_MS) + SoakNode.KILL_AFTER_DEADLINE_MS;
            drawnSteps.add(new Step(
                    kinds.get(random.nextInt(kinds.size())),
                    random.nextInt(serverCount),
                    random.nextBoolean() ? random.nextLong(shutdownMs) : -1,
                    random.nextBoolean() ? 0 : random.nextInt(MAX_SIGHUP_COUNT) + 1,
                    random.nextInt(4) == 0,
                    random.nextLong(1_000)));
        }
        boolean hasCrowd = random.nextInt(CROWD_INTERVAL_SEEDS) == 0;
        boolean hasLateConnections = random.nextBoolean();
        int crowdCount = hasCrowd ? CROWD_COUNTS.get(random.nextInt(CROWD_COUNTS.size())) : 0;
        boolean isHeldUp = random.nextBoolean();
        // Drawn apart, so that all else of a seed stays as it is.
        boolean isShortOfTcpMemory = new SplittableRandom(~seed).nextInt(TCP_MEMORY_INTERVAL_SEEDS) == 0;
        SplittableRandom disruptionRandom = new SplittableRandom(seed ^ DISRUPTION_SEED_MASK);
        List<Disruption> disruptions = drawnSteps.stream()
                .filter(step -> isDisrupted)
                .map(step -> drawDisruption(step.kind, disruptionRandom, serverCount))
                .toList();
        // What the system drops for want of memory arrives seconds later, and no last byte can be told then.
        int stoppingClientCount = isDisrupted && !isShortOfTcpMemory ? STOPPING_CLIENT_COUNT : 0;
        return new Plan(
                seed,
                deadlineMs,
                List.copyOf(drawnSteps),
                crowdCount,
                isHeldUp,
                hasLateConnections,
                isShortOfTcpMemory,
                disruptions,
                stoppingClientCount);
    }

    private static Disruption drawDisruption(Kind kind, SplittableRandom random, int serverCount) {
        int drainedServer = random.nextInt(serverCount);
        boolean hasOutage = random.nextBoolean();
        boolean drainsClients = random.nextBoolean();
        boolean isCalledAtSuccessor = random.nextBoolean();
        // After a kill no page says what the next process knows.
        boolean isJudged = kind == Kind.UPGRADE || kind == Kind.TERM_IN_START;
        return isJudged
                ? new Disruption(
                        hasOutage ? drainedServer : -1, drainsClients, isCalledAtSuccessor && kind == Kind.UPGRADE)
                : Disruption.NONE;
    }
}
