package kitemux.fleet;

import java.util.ArrayDeque;
import kitemux.Balancer.Result;
import kitemux.sim.ColdStartLoad;
import kitemux.sim.Scheduler;

/**
 * Models a server as a queue: its cores process accepted requests in turn, whether or not anybody still waits
 * for the answer. A server is cold after a start, slows down when overloaded, collapses when it receives too
 * much load while cold, and counts its work.
 */
public final class Box {
    /** Time after which an injected failure is answered; such a failure uses no core. */
    private static final long FAILURE_RESPONSE_US = 500;

    final String id;
    final int kindIndex;
    final int rack;
    final Fleet.ServerKind serverKind;
    final double speed;
    private final Scheduler scheduler;
    private final Fleet fleet;
    private final RuleChecker rules;
    private final RandomStream random;
    private final int maxConnections;
    private final double overloadThreshold;

    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private int running;
    private int incarnation;
    private boolean up = true;
    private boolean silent;
    private boolean collapsed;
    private boolean draining;
    private long drainingSinceUs;
    private long startedAtUs;
    private boolean wasRestarted;
    private double workDoneUs;
    private long completed;
    double failureRatio;
    double slowdownFactor = 1;

    private boolean slowedDown;
    private boolean overloaded;
    private long slowedDownSinceUs;
    private long belowRestSinceUs = -1;
    private double meanInFlight;
    private double meanUtilisation;
    private long meansUpdatedAtUs;

    private final ColdStartLoad coldWork;
    private Runnable changeListener = () -> {};

    private int connections;
    int peakConnections;
    long rejectedRequests;
    long rejectedConnections;
    double busyUs;
    double wastedUs;

    /**
     * A request at a server.
     *
     * @param clientTry the client's try that the request belongs to
     * @param workUs work on a core of speed 1, in microseconds, including that of a handshake
     * @param sentUs time at which the node wrote the request, in microseconds of the run
     * @param replyHandler receives the outcome, if the server reports one
     */
    record Job(RuleChecker.TrackedTry clientTry, double workUs, long sentUs, ReplyHandler replyHandler) {}

    /** Receives the outcome of a request at a server. */
    public interface ReplyHandler {
        /** Reports how the request ended; called at most once, and never by a silent server. */
        void completed(Result result);

        /** Returns whether anybody still waits for the answer. */
        boolean isAwaited();

        /** Returns whether the sending node had been notified of the server's latest start. */
        default boolean isSenderAwareOfStart() {
            return true;
        }
    }

    Box(
            String id,
            int kindIndex,
            int rack,
            Fleet fleet,
            double speed,
            Scheduler scheduler,
            RuleChecker rules,
            RandomStream random) {
        this.id = id;
        this.kindIndex = kindIndex;
        this.rack = rack;
        this.serverKind = fleet.kinds().get(kindIndex);
        this.fleet = fleet;
        this.speed = speed;
        this.scheduler = scheduler;
        this.rules = rules;
        this.random = random;
        coldWork = new ColdStartLoad(fleet.meanWorkUs(), rules.limits().windowUs());
        maxConnections = fleet.links().maxConnectionsPerCore() * serverKind.cores();
        overloadThreshold = fleet.overloadSlowdown() == null
                ? Double.MAX_VALUE
                : serverKind.cores() + fleet.overloadSlowdown().thresholdFactor() * Math.sqrt(serverKind.cores());
    }

    // ---------------------------------------------------------------- life cycle

    /** Registers the listener that is called whenever the server's process has started or ended. */
    public void onChange(Runnable listener) {
        changeListener = listener;
    }

    /** Returns the server's name, which is also its id in the list of servers. */
    public String id() {
        return id;
    }

    /** Returns the number of the server's rack. */
    public int rack() {
        return rack;
    }

    /** Returns whether the server's process runs and answers. */
    public boolean isUp() {
        return up && !silent;
    }

    /** Returns whether the server has stopped answering without closing its connections. */
    public boolean isSilent() {
        return silent;
    }

    /** Returns the number of the server's zone. */
    int zone() {
        return fleet.zones().zoneOf(rack);
    }

    /** Returns whether the server drains. */
    boolean isDraining() {
        return draining;
    }

    /** Returns whether the server has collapsed under load while it was cold. */
    boolean hasCollapsed() {
        return collapsed;
    }

    /** Returns whether the server has slowed down through overload during the run. */
    boolean wasOverloaded() {
        return overloaded;
    }

    /**
     * Returns the start time of the process in microseconds of the run; 0 if it has run since before the run
     * began.
     */
    public long startedAtUs() {
        return wasRestarted ? startedAtUs : 0;
    }

    /** Starts to drain: new requests are rule violations once the grace period has passed. */
    void drain() {
        draining = true;
        drainingSinceUs = scheduler.nowUs();
    }

    /**
     * Ends the process and drops all requests it holds.
     *
     * @param silently whether clients are left without any answer instead of seeing their connections reset
     */
    void terminate(boolean silently) {
        updateMeans();
        up = false;
        silent = silently;
        incarnation++;
        running = 0;
        connections = 0;
        ArrayDeque<Job> dropped = new ArrayDeque<>(queue);
        queue.clear();
        if (!silently) {
            dropped.forEach(job -> job.replyHandler.completed(Result.RESET));
        }
        changeListener.run();
    }

    /** Starts a new, cold process. A collapsed server stays down. */
    void start() {
        if (collapsed) {
            return;
        }
        updateMeans();
        up = true;
        silent = false;
        draining = false;
        slowedDown = false;
        meanInFlight = 0;
        wasRestarted = true;
        startedAtUs = scheduler.nowUs();
        workDoneUs = 0;
        coldWork.reset();
        changeListener.run();
    }

    /** Returns the fraction of the server's full capacity that is available now, in (0, 1]. */
    double warmUpRatio() {
        if (!wasRestarted || serverKind.warmUpUs() == 0) {
            return 1;
        }
        double byTime = (double) (scheduler.nowUs() - startedAtUs) / serverKind.warmUpUs();
        double byWork =
                serverKind.warmsByWork() ? workDoneUs / (0.5 * serverKind.warmUpUs() * serverKind.cores() * speed) : 0;
        return Math.min(
                1,
                serverKind.initialCapacityRatio() + (1 - serverKind.initialCapacityRatio()) * Math.max(byTime, byWork));
    }

    /** Returns the present speed of a core, after warm-up, faults and overload. */
    private double effectiveSpeed() {
        return speed
                * warmUpRatio()
                / slowdownFactor
                / (slowedDown ? fleet.overloadSlowdown().slowdownFactor() : 1);
    }

    /** Returns the current status for display. */
    Emulation.BoxStatus status() {
        String state = collapsed
                ? "fallen"
                : silent
                        ? "silent"
                        : !up
                                ? "dead"
                                : draining
                                        ? "draining"
                                        : failureRatio > 0
                                                ? "failing"
                                                : slowedDown || slowdownFactor > 1
                                                        ? "slow"
                                                        : warmUpRatio() < 1 ? "cold" : "up";
        return new Emulation.BoxStatus(id, state, running + queue.size(), connections, completed, warmUpRatio());
    }

    // ---------------------------------------------------------------- connections

    /** Accepts a connection from a node; returns false if the server refuses it because it has too many. */
    public boolean connect() {
        if (connections >= maxConnections) {
            rejectedConnections++;
            return false;
        }
        peakConnections = Math.max(peakConnections, ++connections);
        return true;
    }

    /**
     * Records that a connection to the given incarnation of the server has closed; older incarnations are
     * ignored.
     */
    public void connectionClosed(int ofIncarnation) {
        connections -= ofIncarnation == incarnation ? 1 : 0;
    }

    /** Returns the number of the current process; it rises whenever a process ends. */
    public int incarnation() {
        return incarnation;
    }

    // ---------------------------------------------------------------- requests

    /**
     * Accepts a request that has been received completely.
     *
     * @param clientTry the client's try
     * @param extraWorkUs work besides that of the request, such as a handshake, on a core of speed 1
     * @param sentUs time at which the node wrote the request
     * @param replyHandler receives the outcome
     */
    public void submit(ClientTry clientTry, double extraWorkUs, long sentUs, ReplyHandler replyHandler) {
        submit(new Job(clientTry.tracked(), clientTry.actualWorkUs() + extraWorkUs, sentUs, replyHandler));
    }

    /**
     * Reports a violation if a new request arrives after the drain grace period has passed.
     *
     * @param slackUs additional tolerance in microseconds
     */
    public void checkDraining(long slackUs) {
        if (draining
                && scheduler.nowUs() > drainingSinceUs + fleet.discoveryDelays().drainGraceUs() + slackUs) {
            rules.sentWhileDraining(this);
        }
    }

    void submit(Job job) {
        if (!up) {
            if (!silent) {
                job.replyHandler.completed(Result.RESET);
            }
            return;
        }
        trackColdLoad(job);
        if (!up) {
            return;
        }
        if (failureRatio > 0 && random.nextDouble() < failureRatio) {
            int startIncarnation = incarnation;
            scheduler.scheduleAfterUs(
                    FAILURE_RESPONSE_US,
                    () -> job.replyHandler.completed(startIncarnation == incarnation ? Result.ERROR : Result.RESET));
            return;
        }
        updateMeans();
        if (running < serverKind.cores()) {
            execute(job);
        } else if (queue.size() < serverKind.queueCapacity()) {
            queue.add(job);
        } else {
            rejectedRequests++;
            job.replyHandler.completed(Result.FULL);
        }
    }

    private void execute(Job job) {
        running++;
        rules.executionStarted(job.clientTry, this, job.sentUs);
        int startIncarnation = incarnation;
        double durationUs = job.workUs / effectiveSpeed();
        scheduler.scheduleAfterUs(Math.max(1, Math.round(durationUs)), () -> {
            if (startIncarnation == incarnation) {
                completed(job, durationUs);
            } else if (!silent) {
                job.replyHandler.completed(Result.RESET);
            }
        });
    }

    private void completed(Job job, double durationUs) {
        updateMeans();
        running--;
        busyUs += durationUs;
        workDoneUs += job.workUs;
        completed++;
        wastedUs += job.replyHandler.isAwaited() ? 0 : durationUs;
        Job next = queue.poll();
        if (next != null) {
            execute(next);
        }
        job.replyHandler.completed(Result.OK);
    }

    // ---------------------------------------------------------------- load state

    /** Advances the moving averages to the current time. Must be called before the state changes. */
    private void updateMeans() {
        Fleet.OverloadSlowdown slowdown = fleet.overloadSlowdown();
        if (slowdown == null) {
            return;
        }
        long now = scheduler.nowUs();
        double elapsedUs = now - meansUpdatedAtUs;
        meansUpdatedAtUs = now;
        int inFlight = running + queue.size();
        double decay = Math.exp(-elapsedUs / slowdown.averagingUs());
        meanInFlight = decay * meanInFlight + (1 - decay) * inFlight;
        if (!slowedDown) {
            if (meanInFlight > overloadThreshold && !overloaded) {
                // At most once a day, as the operators have observed; hence at most once per run.
                slowedDown = true;
                overloaded = true;
                slowedDownSinceUs = now;
                meanUtilisation = 1;
                belowRestSinceUs = -1;
            }
            return;
        }
        // The mean moves towards the utilisation since the last update. The time at which it fell below the limit
        // is computed from the exponential curve, as no event need have occurred at that moment.
        double timeConstantUs = slowdown.restUs() / 2.0;
        double utilisation = (double) running / serverKind.cores();
        double previousMean = meanUtilisation;
        meanUtilisation = utilisation + (previousMean - utilisation) * Math.exp(-elapsedUs / timeConstantUs);
        if (meanUtilisation >= slowdown.restUtilisation()) {
            belowRestSinceUs = -1;
        } else if (belowRestSinceUs < 0) {
            belowRestSinceUs = now
                    - (long) elapsedUs
                    + (previousMean <= slowdown.restUtilisation()
                            ? 0
                            : (long) (timeConstantUs
                                    * Math.log((previousMean - utilisation)
                                            / (slowdown.restUtilisation() - utilisation))));
        }
        if (now - slowedDownSinceUs >= slowdown.maxDurationUs()
                || belowRestSinceUs >= 0 && now - belowRestSinceUs >= slowdown.restUs() / 2) {
            slowedDown = false;
        }
    }

    /** Checks rule 4: the load that a cold server receives within any window must stay below its limit. */
    private void trackColdLoad(Job job) {
        double warmUpRatio = warmUpRatio();
        if (warmUpRatio >= 1) {
            return;
        }
        RuleChecker.ColdLoadLimit limits = rules.limits();
        ColdStartLoad.Verdict verdict = coldWork.recordArrival(
                scheduler.nowUs(),
                job.workUs,
                job.replyHandler.isSenderAwareOfStart(),
                limits.capacityMultiple() * serverKind.cores() * speed * warmUpRatio * limits.windowUs());
        if (verdict != ColdStartLoad.Verdict.WITHIN_LIMIT) {
            collapsed = true;
            if (verdict == ColdStartLoad.Verdict.OVERLOADED_BY_NODES) {
                rules.coldServerOverloaded(this);
            }
            terminate(false);
        }
    }

    /** Returns the highest load received while cold from all nodes together, as a fraction of the limit. */
    double coldPeakRatio() {
        return coldWork.peakRatio();
    }
}
