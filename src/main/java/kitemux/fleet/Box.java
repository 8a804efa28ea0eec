package kitemux.fleet;

import java.util.ArrayDeque;
import kitemux.Balancer.Result;
import kitemux.sim.ColdStartLoad;
import kitemux.sim.Scheduler;

/**
 * A server as a queue: its cores work off in turn what it has taken, whether anybody still waits or not. It
 * is cold after a start, turns slow when crowded, falls over when pushed while cold, and counts what it did.
 */
public final class Box {
    /** A failure that is no work takes so long. */
    private static final long FAILS_AFTER_US = 500;

    final String id;
    final int kind;
    final int rack;
    final Fleet.Kind of;
    final double speed;
    private final Scheduler time;
    private final Fleet fleet;
    private final Rules rules;
    private final Draws draws;
    private final int mostConnections;
    private final double crowded;

    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private int running;
    private int process;
    private boolean up = true;
    private boolean silent;
    private boolean fallen;
    private boolean draining;
    private long drainingSinceUs;
    private long startedUs;
    private boolean wasStarted;
    private double workDoneUs;
    private long done;
    double failing;
    double slowed = 1;

    private boolean slow;
    private boolean choked;
    private long slowSinceUs;
    private long restingSinceUs = -1;
    private double crowd;
    private double busy;
    private long meanAtUs;

    private final ColdStartLoad coldWork;
    private Runnable changed = () -> {};

    private int connections;
    int mostConnectionsSeen;
    long turnedAway;
    long refusedConnections;
    double busyUs;
    double wastedUs;

    /**
     * A request at a server.
     *
     * @param told the end of it, if the server tells one
     * @param workUs on a core of speed 1, the handshake's included
     * @param sentUs when its node wrote it
     */
    record Job(Rules.Asked asked, double workUs, long sentUs, Reply told) {}

    /** Where a server's answer goes. */
    public interface Reply {
        /** How the request ended there; told once, or never by a server that is silent. */
        void came(Result result);

        /** Whether anybody waits for it. */
        boolean isWanted();

        /** Whether the node that sent it had been told of the server's start. */
        default boolean isFromTold() {
            return true;
        }
    }

    Box(String id, int kind, int rack, Fleet fleet, double speed, Scheduler time, Rules rules, Draws draws) {
        this.id = id;
        this.kind = kind;
        this.rack = rack;
        this.of = fleet.kinds().get(kind);
        this.fleet = fleet;
        this.speed = speed;
        this.time = time;
        this.rules = rules;
        this.draws = draws;
        coldWork = new ColdStartLoad(fleet.meanWorkUs(), rules.limits().fallUs());
        mostConnections = fleet.links().most() * of.cores();
        crowded = fleet.choke() == null
                ? Double.MAX_VALUE
                : of.cores() + fleet.choke().at() * Math.sqrt(of.cores());
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
        return fleet.zones().of(rack);
    }

    boolean isDraining() {
        return draining;
    }

    /** Whether it fell over or choked. */
    boolean hasFallen() {
        return fallen;
    }

    boolean hasChoked() {
        return choked;
    }

    /** When its process started, in microseconds; 0 for long ago. */
    public long startedUs() {
        return wasStarted ? startedUs : 0;
    }

    void drain() {
        draining = true;
        drainingSinceUs = time.nowUs();
    }

    /** Its process ends; what it held is gone. */
    void die(boolean silently) {
        note();
        up = false;
        silent = silently;
        process++;
        running = 0;
        connections = 0;
        ArrayDeque<Job> lost = new ArrayDeque<>(waiting);
        waiting.clear();
        if (!silently) {
            lost.forEach(job -> job.told.came(Result.RESET));
        }
        changed.run();
    }

    /** A new process, cold; one that fell over stays down. */
    void start() {
        if (fallen) {
            return;
        }
        note();
        up = true;
        silent = false;
        draining = false;
        slow = false;
        crowd = 0;
        wasStarted = true;
        startedUs = time.nowUs();
        workDoneUs = 0;
        coldWork.reset();
        changed.run();
    }

    /** The part of its capacity that it has by now, in (0, 1]. */
    double warmth() {
        if (!wasStarted || of.coldUs() == 0) {
            return 1;
        }
        double byTime = (double) (time.nowUs() - startedUs) / of.coldUs();
        double byWork = of.warmsByWork() ? workDoneUs / (0.5 * of.coldUs() * of.cores() * speed) : 0;
        return Math.min(1, of.coldFrom() + (1 - of.coldFrom()) * Math.max(byTime, byWork));
    }

    private double pace() {
        return speed * warmth() / slowed / (slow ? fleet.choke().slower() : 1);
    }

    /** As it is now, for whoever looks on. */
    Emulation.BoxNow now() {
        String state = fallen
                ? "fallen"
                : silent
                        ? "silent"
                        : !up
                                ? "dead"
                                : draining
                                        ? "draining"
                                        : failing > 0
                                                ? "failing"
                                                : slow || slowed > 1 ? "slow" : warmth() < 1 ? "cold" : "up";
        return new Emulation.BoxNow(id, state, running + waiting.size(), connections, done, warmth());
    }

    // ---------------------------------------------------------------- connections

    /** A node connects; false if it is refused. */
    public boolean connect() {
        if (connections >= mostConnections) {
            refusedConnections++;
            return false;
        }
        mostConnectionsSeen = Math.max(mostConnectionsSeen, ++connections);
        return true;
    }

    /** A connection that was made to this process ends. */
    public void disconnected(int ofProcess) {
        connections -= ofProcess == process ? 1 : 0;
    }

    /** Counts its processes. */
    public int process() {
        return process;
    }

    // ---------------------------------------------------------------- requests

    /**
     * A request has come whole.
     *
     * @param extraUs work besides the request's own, such as a handshake's, on a core of speed 1
     * @param sentUs when its node wrote it
     */
    public void take(Try asked, double extraUs, long sentUs, Reply told) {
        take(new Job(asked.asked(), asked.trueWorkUs() + extraUs, sentUs, told));
    }

    /** Something new has come to it; breaks a rule where it has drained for longer than that may happen. */
    public void cameNew(long slackUs) {
        if (draining && time.nowUs() > drainingSinceUs + fleet.list().graceUs() + slackUs) {
            rules.sentWhileDraining(this);
        }
    }

    void take(Job job) {
        if (!up) {
            if (!silent) {
                job.told.came(Result.RESET);
            }
            return;
        }
        watchCold(job);
        if (!up) {
            return;
        }
        if (failing > 0 && draws.share() < failing) {
            int mine = process;
            time.scheduleAfterUs(FAILS_AFTER_US, () -> job.told.came(mine == process ? Result.ERROR : Result.RESET));
            return;
        }
        note();
        if (running < of.cores()) {
            begin(job);
        } else if (waiting.size() < of.room()) {
            waiting.add(job);
        } else {
            turnedAway++;
            job.told.came(Result.FULL);
        }
    }

    private void begin(Job job) {
        running++;
        rules.runs(job.asked, this, job.sentUs);
        int mine = process;
        double takesUs = job.workUs / pace();
        time.scheduleAfterUs(Math.max(1, Math.round(takesUs)), () -> {
            if (mine == process) {
                done(job, takesUs);
            } else if (!silent) {
                job.told.came(Result.RESET);
            }
        });
    }

    private void done(Job job, double tookUs) {
        note();
        running--;
        busyUs += tookUs;
        workDoneUs += job.workUs;
        done++;
        wastedUs += job.told.isWanted() ? 0 : tookUs;
        Job next = waiting.poll();
        if (next != null) {
            begin(next);
        }
        job.told.came(Result.OK);
    }

    // ---------------------------------------------------------------- how it is

    /** Brings the means up to now; to be called before anything changes. */
    private void note() {
        Fleet.Choke choke = fleet.choke();
        if (choke == null) {
            return;
        }
        long now = time.nowUs();
        double past = now - meanAtUs;
        meanAtUs = now;
        int held = running + waiting.size();
        double keep = Math.exp(-past / choke.overUs());
        crowd = keep * crowd + (1 - keep) * held;
        if (!slow) {
            if (crowd > crowded && !choked) {
                // Once a day, as the operators have seen it.
                slow = true;
                choked = true;
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
        double inUse = (double) running / of.cores();
        double before = busy;
        busy = inUse + (before - inUse) * Math.exp(-past / meanOverUs);
        if (busy >= choke.below()) {
            restingSinceUs = -1;
        } else if (restingSinceUs < 0) {
            restingSinceUs = now
                    - (long) past
                    + (before <= choke.below()
                            ? 0
                            : (long) (meanOverUs * Math.log((before - inUse) / (choke.below() - inUse))));
        }
        if (now - slowSinceUs >= choke.mostUs() || restingSinceUs >= 0 && now - restingSinceUs >= choke.restUs() / 2) {
            slow = false;
        }
    }

    /** Rule 4: what comes to it while cold, in any stretch of time, against what it can do then. */
    private void watchCold(Job job) {
        double warmth = warmth();
        if (warmth >= 1) {
            return;
        }
        Rules.Limits limits = rules.limits();
        ColdStartLoad.Verdict verdict = coldWork.recordArrival(
                time.nowUs(),
                job.workUs,
                job.told.isFromTold(),
                limits.fallMultiple() * of.cores() * speed * warmth * limits.fallUs());
        if (verdict != ColdStartLoad.Verdict.WITHIN_LIMIT) {
            fallen = true;
            if (verdict == ColdStartLoad.Verdict.OVERLOADED_BY_NODES) {
                rules.pushedOver(this);
            }
            die(false);
        }
    }

    /** The most that came from all nodes together while it was cold, as a part of what it stands. */
    double coldPeak() {
        return coldWork.peakRatio();
    }
}
