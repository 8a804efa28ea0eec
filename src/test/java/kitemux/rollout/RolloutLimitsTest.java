package kitemux.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Each limit of the protocol is reached, and exceeding it has the documented effect. */
class RolloutLimitsTest {
    private static final ProtocolParameters PARAMETERS = ProtocolParameters.defaults();
    private static final Voter SELF = new Voter(0, "a");

    /** A cluster of one keeper, which is its own majority, with a disk that syncs at once. */
    private static final class SingleKeeper {
        final KeeperStateMachine machine =
                new KeeperStateMachine(PARAMETERS, SELF, 1, List.of(SELF), new SampleRules(false), List.of(), 1, 0);
        final List<Effect> emitted = new ArrayList<>();
        final List<LogRecord> diskRecords = new ArrayList<>();
        boolean deliversToSelf = true;
        private long callCount;

        void execute(long nowUs, List<Effect> effects) {
            ArrayDeque<Effect> pending = new ArrayDeque<>(effects);
            while (!pending.isEmpty()) {
                Effect effect = pending.poll();
                if (effect instanceof Effect.Persist persist) {
                    diskRecords.add(persist.entry());
                    persist.then().forEach(pending::add);
                } else if (effect instanceof Effect.Send send && deliversToSelf) {
                    machine.handleRequest(nowUs, 1, send.request()).forEach(pending::add);
                } else if (effect instanceof Effect.Reply reply) {
                    machine.handleResponse(nowUs, 0, reply.answer()).forEach(pending::add);
                } else {
                    emitted.add(effect);
                }
            }
        }

        Outcome change(long call, Change change) {
            execute(0, machine.proposeChange(0, call, change));
            return emitted.stream()
                    .filter(e -> e instanceof Effect.CompleteChange c && c.call() == call)
                    .map(e -> ((Effect.CompleteChange) e).outcome())
                    .findFirst()
                    .orElse(null);
        }

        Outcome proposeSet(Map<String, String> set) {
            long base = machine.history().rev();
            callCount++;
            return change(100 + callCount, Change.of(String.format("%016x", callCount), base, set, List.of()));
        }
    }

    private static void assertInvalid(Outcome outcome, String expectedText) {
        assertTrue(
                outcome instanceof Outcome.Invalid f && f.errors().toString().contains(expectedText),
                () -> outcome + "");
    }

    @Test
    void changeExceedingMaxBytesIsRejected() {
        SingleKeeper keeper = new SingleKeeper();
        Map<String, String> set = new TreeMap<>();
        while (RolloutText.write(Change.of("0000000000000000", 0, set, List.of())).length
                <= ProtocolParameters.MAX_CHANGE_BYTES - 20) {
            set.put("realms/t" + (10_000 + set.size()), "1");
        }
        assertEquals(new Outcome.Committed(1), keeper.proposeSet(set));
        set.put("realms/more", "1");
        set.put("realms/evenMore", "1");
        assertInvalid(keeper.proposeSet(set), "4096 are allowed");
        assertTrue(RolloutText.readChange(new byte[ProtocolParameters.MAX_CHANGE_BYTES + 1])
                .errors()
                .toString()
                .contains("4096 are allowed"));
        assertEquals(1, keeper.machine.history().rev());
    }

    private static SingleKeeper keeperWithValues(InitialValues values) {
        SingleKeeper keeper = new SingleKeeper();
        keeper.execute(0, keeper.machine.handleResponse(0, 0, new Response.Snapshot(1, values.map)));
        return keeper;
    }

    /** Initial values: the given number of paths, all with the same value. */
    private static final class InitialValues {
        final TreeMap<String, String> map = new TreeMap<>();

        InitialValues(int pathCount, String value) {
            for (int i = 0; i < pathCount; i++) {
                map.put("limits/" + i, value);
            }
        }
    }

    @Test
    void changeExceedingMaxPathCountIsRejected() {
        SingleKeeper keeper = keeperWithValues(new InitialValues(ProtocolParameters.MAX_PATH_COUNT - 1, "1"));
        assertEquals(new Outcome.Committed(2), keeper.proposeSet(Map.of("realms/last", "1")));
        assertInvalid(keeper.proposeSet(Map.of("realms/more", "1")), "20000 are allowed");
        assertEquals(new Outcome.Committed(3), keeper.proposeSet(Map.of("realms/last", "2")));
    }

    @Test
    void changeExceedingMaxConfigurationBytesIsRejected() {
        SingleKeeper large = keeperWithValues(new InitialValues(1_047, "\"" + "x".repeat(1_988) + "\""));
        assertInvalid(large.proposeSet(Map.of("limits/more", "\"" + "x".repeat(3_900) + "\"")), "2097152 are allowed");
        assertEquals(new Outcome.Committed(2), large.proposeSet(Map.of("limits/0", "1")));
    }

    @Test
    void pathExceedingMaxLengthIsRejected() {
        assertEquals(List.of(), errorsOfPath("limits/" + "x".repeat(121)));
        assertFalse(errorsOfPath("limits/" + "x".repeat(122)).isEmpty());
    }

    private static List<ValidationError> errorsOfPath(String path) {
        return RolloutText.readWatchEvent(("{\"rev\":1,\"set\":{\"" + path + "\":1}}").getBytes(StandardCharsets.UTF_8))
                .errors();
    }

    @Test
    void watchOlderThanHistoryReceivesSnapshot() {
        SingleKeeper keeper = new SingleKeeper();
        for (int i = 1; i <= ProtocolParameters.MAX_HISTORY_VERSION_COUNT + 1; i++) {
            assertEquals(new Outcome.Committed(i), keeper.proposeSet(Map.of("limits/x", Integer.toString(i))));
        }
        assertFalse(keeper.machine.history().covers(0));
        assertTrue(keeper.machine.history().covers(1));
        keeper.execute(0, keeper.machine.openWatch(0, 5, 1));
        keeper.execute(0, keeper.machine.openWatch(0, 6, 0));
        keeper.execute(1_000_000, keeper.machine.tick(1_000_000));
        WatchEvent event = firstEvent(keeper, 5);
        assertEquals(2, assertInstanceOf(WatchEvent.Update.class, event).rev());
        assertEquals(
                new WatchEvent.SnapshotPart(
                        ProtocolParameters.MAX_HISTORY_VERSION_COUNT + 1,
                        1,
                        1,
                        keeper.machine.history().values()),
                firstEvent(keeper, 6));
        assertInstanceOf(
                Outcome.Conflict.class,
                keeper.change(9, Change.of("ffffffffffffffff", 0, Map.of("limits/y", "1"), List.of())));
        List<LogRecord> records = keeper.machine.toRecords();
        KeeperStateMachine restored =
                new KeeperStateMachine(PARAMETERS, SELF, 1, List.of(SELF), new SampleRules(false), records, 2, 0);
        assertEquals(keeper.machine.history().values(), restored.history().values());
        assertEquals(records, restored.toRecords());
        KeeperStateMachine restoredFromDisk = new KeeperStateMachine(
                PARAMETERS, SELF, 1, List.of(SELF), new SampleRules(false), keeper.diskRecords, 2, 0);
        assertEquals(records, restoredFromDisk.toRecords());
    }

    private static WatchEvent firstEvent(SingleKeeper keeper, long watch) {
        return keeper.emitted.stream()
                .filter(e -> e instanceof Effect.SendEvent t
                        && t.watch() == watch
                        && !(t.event() instanceof WatchEvent.Heartbeat))
                .map(e -> ((Effect.SendEvent) e).event())
                .findFirst()
                .orElseThrow();
    }

    @Test
    void watchBeyondLimitIsRejectedUntilAnotherEnds() {
        SingleKeeper keeper = new SingleKeeper();
        for (int i = 0; i < ProtocolParameters.MAX_WATCH_COUNT; i++) {
            keeper.execute(0, keeper.machine.openWatch(0, i, 0));
        }
        assertEquals(0, keeper.machine.rejectedWatches());
        keeper.execute(0, keeper.machine.openWatch(0, 1_000, 0));
        assertEquals(1, keeper.machine.rejectedWatches());
        assertTrue(keeper.emitted.stream().anyMatch(e -> e instanceof Effect.RejectWatch r && r.watch() == 1_000));
        keeper.machine.watchEnded(7);
        keeper.execute(0, keeper.machine.openWatch(0, 1_001, 0));
        assertEquals(1, keeper.machine.rejectedWatches());
        assertEquals(ProtocolParameters.MAX_WATCH_COUNT, keeper.machine.openWatches());
    }

    @Test
    void changeBeyondQueueLimitIsRejectedAndBallotsAreBounded() {
        SingleKeeper keeper = new SingleKeeper();
        keeper.deliversToSelf = false;
        for (int i = 0; i <= ProtocolParameters.MAX_QUEUED_CHANGE_COUNT; i++) {
            assertEquals(
                    null,
                    keeper.change(i, Change.of(String.format("%016x", i), 0, Map.of("limits/x", "1"), List.of())));
        }
        assertInstanceOf(
                Outcome.Unavailable.class,
                keeper.change(99, Change.of("ffffffffffffffff", 0, Map.of("limits/x", "1"), List.of())));
        assertEquals(1, keeper.machine.rejectedChanges());
        long ballots = 0;
        long now = 0;
        while (keeper.emitted.stream().noneMatch(e -> e instanceof Effect.CompleteChange c && c.call() == 0)) {
            assertTrue(
                    ballots < PARAMETERS.maxBallots()
                            && now <= PARAMETERS.proposalTimeoutUs() + PARAMETERS.maxPhaseTimeoutUs(),
                    ballots + " ballots, " + now + " us");
            now = keeper.machine.nextAtUs();
            List<Effect> effects = keeper.machine.tick(now);
            ballots += effects.stream()
                    .filter(e -> e instanceof Effect.Send s && s.request() instanceof Request.Prepare)
                    .count();
            keeper.execute(now, effects);
        }
        assertTrue(ballots > 1, "expected more than one ballot");
        assertTrue(keeper.emitted.stream()
                .anyMatch(e -> e instanceof Effect.CompleteChange c
                        && c.call() == 0
                        && c.outcome() instanceof Outcome.Unavailable));
    }

    @Test
    void responseContainsAtMostMaxVersions() {
        SingleKeeper keeper = new SingleKeeper();
        for (int i = 1; i <= ProtocolParameters.MAX_RESPONSE_VERSION_COUNT + 1; i++) {
            keeper.proposeSet(Map.of("limits/x", Integer.toString(i)));
        }
        Effect.Reply reply = (Effect.Reply)
                keeper.machine.handleRequest(0, 3, new Request.Fetch(0)).get(0);
        Response.Versions versions = (Response.Versions) reply.answer();
        assertEquals(
                ProtocolParameters.MAX_RESPONSE_VERSION_COUNT,
                versions.versions().size());
        assertEquals(ProtocolParameters.MAX_RESPONSE_VERSION_COUNT + 1, versions.newestRev());
    }

    @Test
    void reportBeyondNodeLimitIsRejected() {
        Inventory inventory = new Inventory();
        for (int node = 0; node <= ProtocolParameters.MAX_NODE_COUNT; node++) {
            inventory.addReport(0, new Report(node, 1, 1, new TreeSet<>(), List.of()));
        }
        assertEquals(1, inventory.rejectedReports());
        assertEquals(ProtocolParameters.MAX_NODE_COUNT, inventory.rows(0).size());
        inventory.addReport(5, new Report(3, 1, 2, new TreeSet<>(), List.of()));
        assertEquals(2, inventory.rows(5).get(3).report().rev());
    }

    @Test
    void nodeReportsOnlyFirstErrors() {
        Rules rules = new Rules() {
            @Override
            public List<ValidationError> validate(Map<String, String> values) {
                return values.keySet().stream()
                        .map(path -> new ValidationError(path, "is bad"))
                        .toList();
            }

            @Override
            public Set<String> pathsNeedingRestart(Map<String, String> first, Map<String, String> next) {
                return next.keySet();
            }
        };
        Subscriber subscriber = new Subscriber(PARAMETERS, rules, 1, 1, 1, 0, new InitialValues(30, "1").map, 1, 0);
        long watch = ((Effect.OpenWatch) subscriber.tick(0).get(0)).watch();
        subscriber.watchOpened(1, watch);
        Effect.SendReport report = (Effect.SendReport) subscriber
                .handleEvent(2, watch, new WatchEvent.Update(1, new InitialValues(40, "2").map, new TreeSet<>()))
                .get(0);
        assertEquals(
                ProtocolParameters.MAX_REPORTED_COUNT,
                report.report().rejections().size());
        assertEquals(
                ProtocolParameters.MAX_REPORTED_COUNT,
                report.report().pendingRestart().size());
        assertEquals(0, subscriber.rev());
    }

    @Test
    void tokenBucketAllowsExactByteCounts() {
        TokenBucket pace = new TokenBucket(0, 6_000, 4_096, 0);
        assertEquals(166_667, pace.readyAtUs(0, 1_000));
        pace.consume(166_667, 1_000);
        assertEquals(166_667 + 100_000_000, pace.readyAtUs(166_667 + 100_000_000, 4_096));
        pace.consume(166_667 + 100_000_000, 4_096);
        assertTrue(pace.readyAtUs(166_667 + 100_000_000, 9_999) > 166_667 + 100_682_000);
    }
}
