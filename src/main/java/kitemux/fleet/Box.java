package kitemux.fleet;

import java.util.ArrayDeque;
import kitemux.Balancer.Result;
import kitemux.sim.ColdWork;
import kitemux.sim.Scheduler;

/**
 * A server as a queue: its cores work off in turn what it has taken, whether anybody still waits or not. It
 * is cold after a start, turns slow when crowded, falls over when pushed while cold, and counts what it did.
 */
public final class Box {
    /** A failure that is no work takes so long. */
    private static final long FAILS_AFTER_US = 500;

    final String id;
    final int kindIndex;
    final int rack;
    final Fleet.ServerKind serverKind;
    final double speed;
    private final Scheduler time;
    private final Fleet fleet;
    private final RuleChecker rules;
    private final RandomStream draws;
    private final int maxConnections;
    private final double crowded;

    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private int running;
    private int incarnation;
    private boolean up = true;
    private boolean silent;
    private boolean collapsed;
    private boolean draining;
    private long drainingSinceUs;
    private long startedAtUs;
    private boolean wasStarted;
    private double workDoneUs;
    private long done;
    double failureRatio;
    double slowdownFactor = 1;

    private boolean slow;
    private boolean overloaded;
    private long slowSinceUs;
    private long restingSinceUs = -1;
    private double crowd;
    private double busy;
    private long meanAtUs;

    private final ColdWork coldWork;
    private Runnable changed = () -> {};

    private int connections;
    int peakConnections;
    long rejectedRequests;
    long rejectedConnections;
    double busyUs;
    double wastedUs;

    /**
     * A request at a server.
     *
     * @param replyHandler the end of it, if the server tells one
     * @param workUs on a core of speed 1, the handshake's included
     * @param sentUs when its node wrote it
     */
    record Job(RuleChecker.TrackedTry clientTry, double workUs, long sentUs, ReplyHandler replyHandler) {}

    /** Where a server's answer goes. */
    public interface ReplyHandler {
        /** How the request ended there; told once, or never by a server that is silent. */
        void completed(Result result);

        /** Whether anybody waits for it. */
        boolean isAwaited();

        /** Whether the node that sent it had been told of the server's start. */
        default boolean isSenderAwareOfStart() {
            return true;
        }
    }

    Box(
            String id,
            int kind,
            int rack,
            Fleet fleet,
            double speed,
            Scheduler time,
            RuleChecker rules,
            RandomStream draws) {
        this.id = id;
        this.kindIndex = kind;
        this.rack = rack;
        this.serverKind = fleet.kinds().get(kind);
        this.fleet = fleet;
        this.speed = speed;
        this.time = time;
        this.rules = rules;
        this.draws = draws;
        coldWork = new ColdWork(fleet.meanWorkUs(), rules.limits().windowUs());
        maxConnections = fleet.links().maxConnectionsPerCore() * serverKind.cores();
        crowded = fleet.overloadSlowdown() == null
                ? Double.MAX_VALUE
                : serverKind.cores() + fleet.overloadSlowdown().thresholdFactor() * Math.sqrt(serverKind.cores());
    }

    // ---------------------------------------------------------------- its life

    /** Tells whoever stands for its machine when its process has ended or begun. */
    public void onChange(Runnable told) {
        changed = told;
    }

    /** Its name, which is also its id in the list. */
    public String id() {
        return id;
    }

    /** Its rack's number. */
    public int rack() {
        return rack;
    }

    /** Whether its process runs and says something. */
    public boolean isUp() {
        return up && !silent;
    }

    /** Whether it has gone without a word. */
    public boolean isSilent() {
        return silent;
    }

    /** Its zone's number. */
    int zone() {
        return fleet.zones().zoneOf(rack);
    }

    boolean isDraining() {
        return draining;
    }

    /** Whether it fell over or choked. */
    boolean hasCollapsed() {
        return collapsed;
    }

    boolean wasOverloaded() {
        return overloaded;
    }

    /** When its process started, in microseconds; 0 for long ago. */
    public long startedAtUs() {
        return wasStarted ? startedAtUs : 0;
    }

    void drain() {
        draining = true;
        drainingSinceUs = time.nowUs();
    }

    /** Its process ends; what it held is gone. */
    void terminate(boolean silently) {
        note();
        up = false;
        silent = silently;
        incarnation++;
        running = 0;
        connections = 0;
        ArrayDeque<Job> lost = new ArrayDeque<>(waiting);
        waiting.clear();
        if (!silently) {
            lost.forEach(job -> job.replyHandler.completed(Result.RESET));
        }
        changed.run();
    }

    /** A new process, cold; one that fell over stays down. */
    void start() {
        if (collapsed) {
            return;
        }
        note();
        up = true;
        silent = false;
        draining = false;
        slow = false;
        crowd = 0;
        wasStarted = true;
        startedAtUs = time.nowUs();
        workDoneUs = 0;
        coldWork.begins();
        changed.run();
    }

    /** The part of its capacity that it has by now, in (0, 1]. */
    double warmUpRatio() {
        if (!wasStarted || serverKind.warmUpUs() == 0) {
            return 1;
        }
        double byTime = (double) (time.nowUs() - startedAtUs) / serverKind.warmUpUs();
        double byWork =
                serverKind.warmsByWork() ? workDoneUs / (0.5 * serverKind.warmUpUs() * serverKind.cores() * speed) : 0;
        return Math.min(
                1,
                serverKind.initialCapacityRatio() + (1 - serverKind.initialCapacityRatio()) * Math.max(byTime, byWork));
    }

    private double pace() {
        return speed
                * warmUpRatio()
                / slowdownFactor
                / (slow ? fleet.overloadSlowdown().slowdownFactor() : 1);
    }

    /** As it is now, for whoever looks on. */
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
                                                : slow || slowdownFactor > 1
                                                        ? "slow"
                                                        : warmUpRatio() < 1 ? "cold" : "up";
        return new Emulation.BoxStatus(id, state, running + waiting.size(), connections, done, warmUpRatio());
    }

    // ---------------------------------------------------------------- connections

    /** A node connects; false if it is refused. */
    public boolean connect() {
        if (connections >= maxConnections) {
            rejectedConnections++;
            return false;
        }
        peakConnections = Math.max(peakConnections, ++connections);
        return true;
    }

    /** A connection that was made to this process ends. */
    public void connectionClosed(int ofProcess) {
        connections -= ofProcess == incarnation ? 1 : 0;
    }

    /** Counts its processes. */
    public int incarnation() {
        return incarnation;
    }

    // ---------------------------------------------------------------- requests

    /**
     * A request has come whole.
     *
     * @param extraUs work besides the request's own, such as a handshake's, on a core of speed 1
     * @param sentUs when its node wrote it
     */
    public void submit(ClientTry asked, double extraUs, long sentUs, ReplyHandler told) {
        submit(new Job(asked.tracked(), asked.actualWorkUs() + extraUs, sentUs, told));
    }

    /** Something new has come to it; breaks a rule where it has drained for longer than that may happen. */
    public void checkDraining(long slackUs) {
        if (draining && time.nowUs() > drainingSinceUs + fleet.discoveryDelays().drainGraceUs() + slackUs) {
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
        watchCold(job);
        if (!up) {
            return;
        }
        if (failureRatio > 0 && draws.nextDouble() < failureRatio) {
            int mine = incarnation;
            time.afterUs(
                    FAILS_AFTER_US,
                    () -> job.replyHandler.completed(mine == incarnation ? Result.ERROR : Result.RESET));
            return;
        }
        note();
        if (running < serverKind.cores()) {
            begin(job);
        } else if (waiting.size() < serverKind.queueCapacity()) {
            waiting.add(job);
        } else {
            rejectedRequests++;
            job.replyHandler.completed(Result.FULL);
        }
    }

    private void begin(Job job) {
        running++;
        rules.executionStarted(job.clientTry, this, job.sentUs);
        int mine = incarnation;
        double takesUs = job.workUs / pace();
        time.afterUs(Math.max(1, Math.round(takesUs)), () -> {
            if (mine == incarnation) {
                done(job, takesUs);
            } else if (!silent) {
                job.replyHandler.completed(Result.RESET);
            }
        });
    }

    private void done(Job job, double tookUs) {
        note();
        running--;
        busyUs += tookUs;
        workDoneUs += job.workUs;
        done++;
        wastedUs += job.replyHandler.isAwaited() ? 0 : tookUs;
        Job next = waiting.poll();
        if (next != null) {
            begin(next);
        }
        job.replyHandler.completed(Result.OK);
    }

    // ---------------------------------------------------------------- how it is

    /** Brings the means up to now; to be called before anything changes. */
    private void note() {
        Fleet.OverloadSlowdown choke = fleet.overloadSlowdown();
        if (choke == null) {
            return;
        }
        long now = time.nowUs();
        double past = now - meanAtUs;
        meanAtUs = now;
        int held = running + waiting.size();
        double keep = Math.exp(-past / choke.averagingUs());
        crowd = keep * crowd + (1 - keep) * held;
        if (!slow) {
            if (crowd > crowded && !overloaded) {
                // Once a day, as the operators have seen it.
                slow = true;
                overloaded = true;
                slowSinceUs = now;
                busy = 1;
                restingSinceUs = -1;
            }
            return;
        }
        // The mean runs towards what is in use since it was last looked at; when it got under the bound is
        // told by
        // its curve, as nothing may have happened since then.
        double meanOverUs = choke.restUs() / 2.0;
        double inUse = (double) running / serverKind.cores();
        double before = busy;
        busy = inUse + (before - inUse) * Math.exp(-past / meanOverUs);
        if (busy >= choke.restUtilisation()) {
            restingSinceUs = -1;
        } else if (restingSinceUs < 0) {
            restingSinceUs = now
                    - (long) past
                    + (before <= choke.restUtilisation()
                            ? 0
                            : (long) (meanOverUs * Math.log((before - inUse) / (choke.restUtilisation() - inUse))));
        }
        if (now - slowSinceUs >= choke.maxDurationUs()
                || restingSinceUs >= 0 && now - restingSinceUs >= choke.restUs() / 2) {
            slow = false;
        }
    }

    /** Rule 4: what comes to it while cold, in any stretch of time, against what it can do then. */
    private void watchCold(Job job) {
        double warmth = warmUpRatio();
        if (warmth >= 1) {
            return;
        }
        RuleChecker.ColdLoadLimit limits = rules.limits();
        ColdWork.Verdict verdict = coldWork.came(
                time.nowUs(),
                job.workUs,
                job.replyHandler.isSenderAwareOfStart(),
                limits.capacityMultiple() * serverKind.cores() * speed * warmth * limits.windowUs());
        if (verdict != ColdWork.Verdict.STANDS) {
            collapsed = true;
            if (verdict == ColdWork.Verdict.PUSHED_OVER) {
                rules.coldServerOverloaded(this);
            }
            terminate(false);
        }
    }

    /** The most that came from all nodes together while it was cold, as a part of what it stands. */
    double coldPeakRatio() {
        return coldWork.highest();
    }
}
