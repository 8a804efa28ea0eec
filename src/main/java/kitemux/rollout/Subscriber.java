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
 * The state machine of a node: it watches one keeper, applies complete versions, and reports what is in
 * force. Whatever keepers send, the last valid version stays in force.
 */
public final class Subscriber {
    /** The state of the node with regard to the keepers. */
    public enum State {
        /** No watch is open; a connection attempt is under way or scheduled. */
        CONNECTING,
        /** A watch is open, and it has sent nothing yet or is sending a snapshot. */
        CATCHING_UP,
        /** The node has received a version or a heartbeat from a keeper that reaches a majority of the voters. */
        CURRENT,
        /** The keeper that the node watches reaches no majority of the voters. */
        NO_QUORUM
    }

    private final ProtocolParameters parameters;
    private final Rules rules;
    private final int node;
    private final long incarnation;
    private final int keeperCount;
    private final SplittableRandom random;
    /** The values with which the process started. */
    private final SortedMap<String, String> startupValues;

    private State state = State.CONNECTING;
    private List<Effect> effects = new ArrayList<>();
    private long nowUs;

    /** The version in force. */
    private long rev;

    private SortedMap<String, String> values;

    /**
     * The newest version received and its values, which may be rejected or about to be applied. They are
     * kept when a watch ends; otherwise a node that rejects a version would receive all versions since the
     * one in force again.
     */
    private long candidateRev;

    private SortedMap<String, String> candidateValues;
    private final List<Report.Rejection> rejections = new ArrayList<>();
    /** Snapshot being received: its version, and the last part that has arrived. */
    private long snapshotRev;

    private int lastSnapshotPart;
    private SortedMap<String, String> snapshot;

    private long lastWatchId;
    /** The current watch or connection attempt; 0 if there is none. */
    private long watchId;

    private int keeper = -1;
    private boolean watchOpened;
    private long watchTimeoutAtUs = Long.MAX_VALUE;
    private long connectAtUs;
    private long reportAtUs = Long.MAX_VALUE;
    /**
     * While in NO_QUORUM: another keeper that is being tried. The current watch is kept until that keeper
     * shows that it reaches a majority.
     */
    private long trialWatchId;

    private int trialKeeper;
    private boolean trialOpened;
    private long trialTimeoutAtUs = Long.MAX_VALUE;
    private long nextTrialAtUs = Long.MAX_VALUE;
    private final Set<Integer> triedKeepers = new HashSet<>();
    private long backoffUs;
    private long malformedEvents;
    private long reconnects;

    /**
     * Starts with the configuration in the node's own file.
     *
     * @param node number of the node
     * @param incarnation start time of its process in milliseconds since 1970
     * @param keeperCount number of keepers
     * @param rev version of {@code values}; 0 if the file names none
     * @param seed seed of the random choices and delays
     */
    public Subscriber(
            ProtocolParameters parameters,
            Rules rules,
            int node,
            long incarnation,
            int keeperCount,
            long rev,
            SortedMap<String, String> values,
            long seed,
            long nowUs) {
        this.parameters = parameters;
        this.rules = rules;
        this.node = node;
        this.incarnation = incarnation;
        this.keeperCount = keeperCount;
        this.rev = rev;
        this.values = values;
        this.startupValues = values;
        this.random = new SplittableRandom(seed);
        this.connectAtUs = nowUs;
        candidateRev = rev;
        candidateValues = values;
        backoffUs = parameters.initialMaxBackoffUs();
    }

    /** Returns the state of the node with regard to the keepers. */
    public State state() {
        return state;
    }

    /** Returns the version in force. */
    public long rev() {
        return rev;
    }

    /** Returns the values in force. */
    public SortedMap<String, String> values() {
        return values;
    }

    /** Returns the number of malformed events since the start. */
    public long malformedEvents() {
        return malformedEvents;
    }

    /** Returns the number of watches and connection attempts that were closed or lost since the start. */
    public long reconnects() {
        return reconnects;
    }

    /** Returns when {@link #tick} must be called, in microseconds. */
    public long nextAtUs() {
        return Math.min(
                Math.min(Math.min(watchTimeoutAtUs, connectAtUs), reportAtUs),
                Math.min(trialTimeoutAtUs, nextTrialAtUs));
    }

    private List<Effect> handle(long now, Runnable event) {
        nowUs = now;
        effects = new ArrayList<>();
        event.run();
        List<Effect> result = effects;
        effects = new ArrayList<>();
        return result;
    }

    /** Handles all timeouts that have passed. */
    public List<Effect> tick(long now) {
        return handle(now, () -> {
            if (now >= connectAtUs) {
                connect();
            }
            if (now >= watchTimeoutAtUs) {
                onWatchLost(true);
            }
            if (now >= trialTimeoutAtUs) {
                onTrialFailed(true);
            }
            if (now >= nextTrialAtUs) {
                startTrial();
            }
            if (now >= reportAtUs) {
                sendReport();
            }
        });
    }

    private int pickKeeper(Integer excluded) {
        List<Integer> untried = new ArrayList<>();
        for (int k = 0; k < keeperCount; k++) {
            if (!triedKeepers.contains(k) && !Integer.valueOf(k).equals(excluded)) {
                untried.add(k);
            }
        }
        if (untried.isEmpty()) {
            triedKeepers.clear();
            if (keeperCount == 1 || excluded == null) {
                return random.nextInt(keeperCount);
            }
            return (excluded + 1 + random.nextInt(keeperCount - 1)) % keeperCount;
        }
        return untried.get(random.nextInt(untried.size()));
    }

    private void connect() {
        connectAtUs = Long.MAX_VALUE;
        keeper = pickKeeper(null);
        triedKeepers.add(keeper);
        watchId = ++lastWatchId;
        watchOpened = false;
        watchTimeoutAtUs = nowUs + parameters.connectTimeoutUs();
        effects.add(new Effect.OpenWatch(watchId, keeper, candidateRev));
    }

    private long drawWatchTimeoutAtUs() {
        return nowUs + random.nextLong(parameters.minWatchTimeoutUs(), parameters.maxWatchTimeoutUs());
    }

    /** A keeper has accepted a watch; events may follow. */
    public List<Effect> watchOpened(long now, long eventWatchId) {
        return handle(now, () -> {
            if (eventWatchId == watchId && !watchOpened) {
                startCatchingUp();
            } else if (eventWatchId == trialWatchId && !trialOpened) {
                trialOpened = true;
                trialTimeoutAtUs = drawWatchTimeoutAtUs();
            }
        });
    }

    private void startCatchingUp() {
        watchOpened = true;
        state = State.CATCHING_UP;
        watchTimeoutAtUs = drawWatchTimeoutAtUs();
        reportAtUs = nowUs;
        snapshot = null;
    }

    /** A connection attempt has failed, a watch was rejected, or a watch has ended. */
    public List<Effect> watchEnded(long now, long eventWatchId) {
        return handle(now, () -> {
            if (eventWatchId == watchId) {
                onWatchLost(false);
            } else if (eventWatchId == trialWatchId) {
                onTrialFailed(false);
            }
        });
    }

    private void onWatchLost(boolean closeWatch) {
        if (closeWatch) {
            effects.add(new Effect.CloseWatch(watchId));
        }
        boolean wasOpened = watchOpened;
        reconnects++;
        watchId = 0;
        watchOpened = false;
        snapshot = null;
        watchTimeoutAtUs = Long.MAX_VALUE;
        state = State.CONNECTING;
        if (trialWatchId != 0) {
            promoteTrial();
            return;
        }
        nextTrialAtUs = Long.MAX_VALUE;
        long maxDelayUs = parameters.initialMaxBackoffUs();
        if (wasOpened) {
            triedKeepers.clear();
            triedKeepers.add(keeper);
            backoffUs = parameters.initialMaxBackoffUs();
        } else if (triedKeepers.size() >= keeperCount) {
            // The backoff grows only once all keepers were tried, so that one that is back is found soon.
            backoffUs = Math.min(2 * backoffUs, parameters.maxBackoffUs());
            maxDelayUs = backoffUs;
            triedKeepers.clear();
        }
        connectAtUs = nowUs + random.nextLong(parameters.minBackoffUs(), maxDelayUs + 1);
    }

    /** Makes the trial watch the current one, whether it is open or still connecting. */
    private void promoteTrial() {
        watchId = trialWatchId;
        keeper = trialKeeper;
        watchTimeoutAtUs = trialTimeoutAtUs;
        boolean wasOpened = trialOpened;
        clearTrial();
        nextTrialAtUs = Long.MAX_VALUE;
        if (wasOpened) {
            startCatchingUp();
        } else {
            state = State.CONNECTING;
        }
    }

    private void clearTrial() {
        trialWatchId = 0;
        trialOpened = false;
        trialTimeoutAtUs = Long.MAX_VALUE;
    }

    private void startTrial() {
        nextTrialAtUs = Long.MAX_VALUE;
        trialKeeper = pickKeeper(keeper);
        triedKeepers.add(trialKeeper);
        trialWatchId = ++lastWatchId;
        trialOpened = false;
        trialTimeoutAtUs = nowUs + parameters.connectTimeoutUs();
        effects.add(new Effect.OpenWatch(trialWatchId, trialKeeper, candidateRev));
    }

    private void onTrialFailed(boolean closeWatch) {
        if (closeWatch) {
            effects.add(new Effect.CloseWatch(trialWatchId));
        }
        clearTrial();
        nextTrialAtUs = nowUs
                + (triedKeepers.size() < keeperCount
                        ? random.nextLong(parameters.minBackoffUs(), parameters.initialMaxBackoffUs())
                        : parameters.noQuorumRetryUs());
    }

    /** Handles an event of a watch. */
    public List<Effect> handleEvent(long now, long eventWatchId, WatchEvent event) {
        return handle(now, () -> {
            if (eventWatchId == trialWatchId && trialOpened) {
                if (event instanceof WatchEvent.NoQuorum) {
                    onTrialFailed(true);
                    return;
                }
                effects.add(new Effect.CloseWatch(watchId));
                promoteTrial();
            }
            if (eventWatchId == watchId && watchOpened) {
                applyEvent(event);
            }
        });
    }

    /** Handles an event that could not be parsed. */
    public List<Effect> handleMalformedEvent(long now, long eventWatchId) {
        return handle(now, () -> {
            if (eventWatchId == watchId && watchOpened) {
                onMalformedEvent();
            } else if (eventWatchId == trialWatchId && trialOpened) {
                malformedEvents++;
                onTrialFailed(true);
            }
        });
    }

    private void onMalformedEvent() {
        malformedEvents++;
        onWatchLost(true);
    }

    private void applyEvent(WatchEvent event) {
        watchTimeoutAtUs = drawWatchTimeoutAtUs();
        if (event instanceof WatchEvent.NoQuorum) {
            if (state != State.NO_QUORUM) {
                state = State.NO_QUORUM;
                triedKeepers.clear();
                triedKeepers.add(keeper);
                nextTrialAtUs = nowUs;
            }
            return;
        }
        if (state == State.NO_QUORUM && trialWatchId != 0) {
            effects.add(new Effect.CloseWatch(trialWatchId));
            clearTrial();
        }
        nextTrialAtUs = Long.MAX_VALUE;
        if (event instanceof WatchEvent.SnapshotPart part) {
            state = State.CATCHING_UP;
            addSnapshotPart(part);
        } else if (event instanceof WatchEvent.Update next) {
            applyUpdate(next);
        } else {
            state = State.CURRENT;
        }
    }

    private void addSnapshotPart(WatchEvent.SnapshotPart part) {
        boolean isFirst = part.part() == 1 && part.rev() > candidateRev;
        boolean isNext = snapshot != null && part.rev() == snapshotRev && part.part() == lastSnapshotPart + 1;
        if (!isFirst && !isNext) {
            onMalformedEvent();
            return;
        }
        if (isFirst) {
            snapshot = new TreeMap<>();
        }
        snapshotRev = part.rev();
        lastSnapshotPart = part.part();
        snapshot.putAll(part.set());
        if (part.part() == part.partCount()) {
            state = State.CURRENT;
            candidateValues = snapshot;
            snapshot = null;
            candidateRev = part.rev();
            validateCandidate();
        }
    }

    private void applyUpdate(WatchEvent.Update next) {
        if (next.rev() != candidateRev + 1 || snapshot != null) {
            onMalformedEvent();
            return;
        }
        state = State.CURRENT;
        candidateRev = next.rev();
        candidateValues = new Change("", 0, next.set(), next.drop()).applyTo(candidateValues);
        validateCandidate();
    }

    /**
     * Applies the candidate if it is valid as a whole. Otherwise it is kept until a later version corrects
     * it.
     */
    private void validateCandidate() {
        List<ValidationError> errors = rules.validate(candidateValues);
        rejections.clear();
        if (errors.isEmpty()) {
            effects.add(new Effect.Apply(candidateRev, candidateValues));
        } else {
            errors.stream()
                    .limit(ProtocolParameters.MAX_REPORTED_COUNT)
                    .forEach(error -> rejections.add(new Report.Rejection(candidateRev, error.path(), error.reason())));
            sendReport();
        }
    }

    /** Confirms that a version was applied, and with it all that were requested before. */
    public List<Effect> applied(long now, long appliedRev, SortedMap<String, String> appliedValues) {
        return handle(now, () -> {
            if (appliedRev > rev) {
                rev = appliedRev;
                values = appliedValues;
                sendReport();
            }
        });
    }

    private void sendReport() {
        reportAtUs = nowUs + parameters.reportIntervalUs();
        if (watchOpened) {
            SortedSet<String> pendingRestart = new TreeSet<>(rules.pathsNeedingRestart(startupValues, values));
            while (pendingRestart.size() > ProtocolParameters.MAX_REPORTED_COUNT) {
                pendingRestart.remove(pendingRestart.last());
            }
            effects.add(new Effect.SendReport(
                    keeper, new Report(node, incarnation, rev, pendingRestart, List.copyOf(rejections))));
        }
    }
}
