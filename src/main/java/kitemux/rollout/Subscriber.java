package kitemux.rollout;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A node's part: watches one keeper, takes versions in whole, and reports what is in force. Whatever keepers
 * do, the last good version stays in force.
 */
public final class Subscriber {
    /** How it stands to keepers. */
    public enum State {
        CONNECTING,
        CATCHING_UP,
        CURRENT,
        NO_QUORUM
    }

    private final ProtocolParameters terms;
    private final Rules rules;
    private final int node;
    private final long life;
    private final int keepers;
    private final SplittableRandom draws;
    /** What the process has started with. */
    private final SortedMap<String, String> first;

    private State state = State.CONNECTING;
    private List<Effect> out = new ArrayList<>();
    private long nowUs;

    /** In force. */
    private long rev;

    private SortedMap<String, String> values;

    /**
     * The copy on the side, with what was refused in it, and what is about to be in force; its version is
     * what the watch is at. It stays when a watch ends: else a node that refuses something would be told all
     * since again.
     */
    private long sideRev;

    private SortedMap<String, String> side;
    private final List<Report.Rejection> refused = new ArrayList<>();
    /** Parts of a whole: of which version, and the last that came. */
    private long wholeRev;

    private int lastPart;
    private SortedMap<String, String> whole;

    private long watches;
    /** The watch, or its dial; 0 where there is none. */
    private long watch;

    private int keeper = -1;
    private boolean watchOpened;
    private long silentAtUs = Long.MAX_VALUE;
    private long dialAtUs;
    private long reportAtUs = Long.MAX_VALUE;
    /** While ALONE: another keeper that is tried; the watch stays until that says that it is not alone. */
    private long trial;

    private int trialKeeper;
    private boolean trialConnected;
    private long trialEndsAtUs = Long.MAX_VALUE;
    private long trialAtUs = Long.MAX_VALUE;
    private final Set<Integer> tried = new HashSet<>();
    private long waitUs;
    private long malformedEvents;
    private long reconnects;

    /**
     * Begins with what the node's own file says.
     *
     * @param node its number
     * @param life when its process started, in milliseconds since 1970
     * @param keepers how many there are
     * @param rev the version of {@code values}, 0 where the file tells none
     * @param seed of what it draws
     */
    public Subscriber(
            ProtocolParameters terms,
            Rules rules,
            int node,
            long life,
            int keepers,
            long rev,
            SortedMap<String, String> values,
            long seed,
            long nowUs) {
        this.terms = terms;
        this.rules = rules;
        this.node = node;
        this.life = life;
        this.keepers = keepers;
        this.rev = rev;
        this.values = values;
        this.first = values;
        this.draws = new SplittableRandom(seed);
        this.dialAtUs = nowUs;
        sideRev = rev;
        side = values;
        waitUs = terms.initialMaxBackoffUs();
    }

    /** How it stands to keepers. */
    public State state() {
        return state;
    }

    /** The version in force. */
    public long rev() {
        return rev;
    }

    /** What is in force. */
    public SortedMap<String, String> values() {
        return values;
    }

    /** Lines that could not be, since its start. */
    public long malformedEvents() {
        return malformedEvents;
    }

    /** Watches that it gave up or lost, since its start. */
    public long reconnects() {
        return reconnects;
    }

    /** When {@link #tick} is to be called, in microseconds. */
    public long nextAtUs() {
        return Math.min(Math.min(Math.min(silentAtUs, dialAtUs), reportAtUs), Math.min(trialEndsAtUs, trialAtUs));
    }

    private List<Effect> events(long now, Runnable event) {
        nowUs = now;
        out = new ArrayList<>();
        event.run();
        List<Effect> done = out;
        out = new ArrayList<>();
        return done;
    }

    /** Time has passed. */
    public List<Effect> tick(long now) {
        return events(now, () -> {
            if (now >= dialAtUs) {
                dial();
            }
            if (now >= silentAtUs) {
                lost(true);
            }
            if (now >= trialEndsAtUs) {
                trialFailed(true);
            }
            if (now >= trialAtUs) {
                tryAnother();
            }
            if (now >= reportAtUs) {
                report();
            }
        });
    }

    private int draw(Integer but) {
        List<Integer> left = new ArrayList<>();
        for (int k = 0; k < keepers; k++) {
            if (!tried.contains(k) && !Integer.valueOf(k).equals(but)) {
                left.add(k);
            }
        }
        if (left.isEmpty()) {
            tried.clear();
            if (keepers == 1 || but == null) {
                return draws.nextInt(keepers);
            }
            return (but + 1 + draws.nextInt(keepers - 1)) % keepers;
        }
        return left.get(draws.nextInt(left.size()));
    }

    private void dial() {
        dialAtUs = Long.MAX_VALUE;
        keeper = draw(null);
        tried.add(keeper);
        watch = ++watches;
        watchOpened = false;
        silentAtUs = nowUs + terms.connectTimeoutUs();
        out.add(new Effect.OpenWatch(watch, keeper, sideRev));
    }

    private long patienceUs() {
        return nowUs + draws.nextLong(terms.minWatchTimeoutUs(), terms.maxWatchTimeoutUs());
    }

    /** A dial was answered: lines may follow. */
    public List<Effect> watchOpened(long now, long on) {
        return events(now, () -> {
            if (on == watch && !watchOpened) {
                begin();
            } else if (on == trial && !trialConnected) {
                trialConnected = true;
                trialEndsAtUs = patienceUs();
            }
        });
    }

    private void begin() {
        watchOpened = true;
        state = State.CATCHING_UP;
        silentAtUs = patienceUs();
        reportAtUs = nowUs;
        whole = null;
    }

    /** A dial has failed or was refused, or a watch has ended. */
    public List<Effect> watchEnded(long now, long on) {
        return events(now, () -> {
            if (on == watch) {
                lost(false);
            } else if (on == trial) {
                trialFailed(false);
            }
        });
    }

    private void lost(boolean hangUp) {
        if (hangUp) {
            out.add(new Effect.CloseWatch(watch));
        }
        boolean wasConnected = watchOpened;
        reconnects++;
        watch = 0;
        watchOpened = false;
        whole = null;
        silentAtUs = Long.MAX_VALUE;
        state = State.CONNECTING;
        if (trial != 0) {
            takeTrial();
            return;
        }
        trialAtUs = Long.MAX_VALUE;
        long mostUs = terms.initialMaxBackoffUs();
        if (wasConnected) {
            tried.clear();
            tried.add(keeper);
            waitUs = terms.initialMaxBackoffUs();
        } else if (tried.size() >= keepers) {
            // Only between two rounds: one of those that are back is found soon.
            waitUs = Math.min(2 * waitUs, terms.maxBackoffUs());
            mostUs = waitUs;
            tried.clear();
        }
        dialAtUs = nowUs + draws.nextLong(terms.minBackoffUs(), mostUs + 1);
    }

    /** The keeper that is tried is the one that it watches from now on, or dials. */
    private void takeTrial() {
        watch = trial;
        keeper = trialKeeper;
        silentAtUs = trialEndsAtUs;
        boolean was = trialConnected;
        dropTrial();
        trialAtUs = Long.MAX_VALUE;
        if (was) {
            begin();
        } else {
            state = State.CONNECTING;
        }
    }

    private void dropTrial() {
        trial = 0;
        trialConnected = false;
        trialEndsAtUs = Long.MAX_VALUE;
    }

    private void tryAnother() {
        trialAtUs = Long.MAX_VALUE;
        trialKeeper = draw(keeper);
        tried.add(trialKeeper);
        trial = ++watches;
        trialConnected = false;
        trialEndsAtUs = nowUs + terms.connectTimeoutUs();
        out.add(new Effect.OpenWatch(trial, trialKeeper, sideRev));
    }

    private void trialFailed(boolean hangUp) {
        if (hangUp) {
            out.add(new Effect.CloseWatch(trial));
        }
        dropTrial();
        trialAtUs = nowUs
                + (tried.size() < keepers
                        ? draws.nextLong(terms.minBackoffUs(), terms.initialMaxBackoffUs())
                        : terms.noQuorumRetryUs());
    }

    /** A line of a watch. */
    public List<Effect> handleEvent(long now, long on, WatchEvent line) {
        return events(now, () -> {
            if (on == trial && trialConnected) {
                if (line instanceof WatchEvent.NoQuorum) {
                    trialFailed(true);
                    return;
                }
                out.add(new Effect.CloseWatch(watch));
                takeTrial();
            }
            if (on == watch && watchOpened) {
                take(line);
            }
        });
    }

    /** A line of a watch that could not be read. */
    public List<Effect> handleMalformedEvent(long now, long on) {
        return events(now, () -> {
            if (on == watch && watchOpened) {
                bad();
            } else if (on == trial && trialConnected) {
                malformedEvents++;
                trialFailed(true);
            }
        });
    }

    private void bad() {
        malformedEvents++;
        lost(true);
    }

    private void take(WatchEvent line) {
        silentAtUs = patienceUs();
        if (line instanceof WatchEvent.NoQuorum) {
            if (state != State.NO_QUORUM) {
                state = State.NO_QUORUM;
                tried.clear();
                tried.add(keeper);
                trialAtUs = nowUs;
            }
            return;
        }
        if (state == State.NO_QUORUM && trial != 0) {
            out.add(new Effect.CloseWatch(trial));
            dropTrial();
        }
        trialAtUs = Long.MAX_VALUE;
        if (line instanceof WatchEvent.SnapshotPart part) {
            state = State.CATCHING_UP;
            part(part);
        } else if (line instanceof WatchEvent.Update next) {
            next(next);
        } else {
            state = State.CURRENT;
        }
    }

    private void part(WatchEvent.SnapshotPart part) {
        boolean isFirst = part.part() == 1 && part.rev() > sideRev;
        boolean isNext = whole != null && part.rev() == wholeRev && part.part() == lastPart + 1;
        if (!isFirst && !isNext) {
            bad();
            return;
        }
        if (isFirst) {
            whole = new TreeMap<>();
        }
        wholeRev = part.rev();
        lastPart = part.part();
        whole.putAll(part.set());
        if (part.part() == part.partCount()) {
            state = State.CURRENT;
            side = whole;
            whole = null;
            sideRev = part.rev();
            judge();
        }
    }

    private void next(WatchEvent.Update next) {
        if (next.rev() != sideRev + 1 || whole != null) {
            bad();
            return;
        }
        state = State.CURRENT;
        sideRev = next.rev();
        side = new Change("", 0, next.set(), next.drop()).applyTo(side);
        judge();
    }

    /** The copy on the side is in force if it is sound as a whole; else it waits for what mends it. */
    private void judge() {
        List<ValidationError> faults = rules.validate(side);
        refused.clear();
        if (faults.isEmpty()) {
            out.add(new Effect.Apply(sideRev, side));
        } else {
            faults.stream()
                    .limit(ProtocolParameters.MAX_REPORTED_COUNT)
                    .forEach(fault -> refused.add(new Report.Rejection(sideRev, fault.path(), fault.reason())));
            report();
        }
    }

    /** What was to be put in force is so: all that was asked for up to this version. */
    public List<Effect> applied(long now, long nowRev, SortedMap<String, String> nowValues) {
        return events(now, () -> {
            if (nowRev > rev) {
                rev = nowRev;
                values = nowValues;
                report();
            }
        });
    }

    private void report() {
        reportAtUs = nowUs + terms.reportIntervalUs();
        if (watchOpened) {
            SortedSet<String> waits = new TreeSet<>(rules.pathsNeedingRestart(first, values));
            while (waits.size() > ProtocolParameters.MAX_REPORTED_COUNT) {
                waits.remove(waits.last());
            }
            out.add(new Effect.SendReport(keeper, new Report(node, life, rev, waits, List.copyOf(refused))));
        }
    }
}
