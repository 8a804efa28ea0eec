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

/** Each bound is reached, and what then happens is what its description says. */
class BoundsTest {
    private static final ProtocolParameters TERMS = ProtocolParameters.defaults();
    private static final Voter ME = new Voter(0, "a");

    /** A keeper that is alone in the world and votes, on a disk that syncs at once. */
    private static final class Solo {
        final KeeperStateMachine machine =
                new KeeperStateMachine(TERMS, ME, 1, List.of(ME), new ToyRules(false), List.of(), 1, 0);
        final List<Effect> done = new ArrayList<>();
        final List<LogRecord> disk = new ArrayList<>();
        boolean hearsItself = true;
        private long calls;

        void carry(long nowUs, List<Effect> effects) {
            ArrayDeque<Effect> left = new ArrayDeque<>(effects);
            while (!left.isEmpty()) {
                Effect effect = left.poll();
                if (effect instanceof Effect.Persist write) {
                    disk.add(write.entry());
                    write.then().forEach(left::add);
                } else if (effect instanceof Effect.Send send && hearsItself) {
                    machine.handleRequest(nowUs, 1, send.request()).forEach(left::add);
                } else if (effect instanceof Effect.Reply reply) {
                    machine.handleResponse(nowUs, 0, reply.answer()).forEach(left::add);
                } else {
                    done.add(effect);
                }
            }
        }

        Outcome change(long call, Change change) {
            carry(0, machine.proposeChange(0, call, change));
            return done.stream()
                    .filter(e -> e instanceof Effect.CompleteChange c && c.call() == call)
                    .map(e -> ((Effect.CompleteChange) e).outcome())
                    .findFirst()
                    .orElse(null);
        }

        Outcome put(Map<String, String> set) {
            long base = machine.history().rev();
            calls++;
            return change(100 + calls, Change.of(String.format("%016x", calls), base, set, List.of()));
        }
    }

    private static void faulty(Outcome outcome, String what) {
        assertTrue(outcome instanceof Outcome.Invalid f && f.errors().toString().contains(what), () -> outcome + "");
    }

    @Test
    void aChangeTooLongIsRefused() {
        Solo solo = new Solo();
        Map<String, String> set = new TreeMap<>();
        while (RolloutText.write(Change.of("0000000000000000", 0, set, List.of())).length
                <= ProtocolParameters.MAX_CHANGE_BYTES - 20) {
            set.put("realms/t" + (10_000 + set.size()), "1");
        }
        assertEquals(new Outcome.Committed(1), solo.put(set));
        set.put("realms/more", "1");
        set.put("realms/evenMore", "1");
        faulty(solo.put(set), "4096 are allowed");
        assertTrue(RolloutText.readChange(new byte[ProtocolParameters.MAX_CHANGE_BYTES + 1])
                .errors()
                .toString()
                .contains("4096 are allowed"));
        assertEquals(1, solo.machine.history().rev());
    }

    private static Solo with(SortedValues values) {
        Solo solo = new Solo();
        solo.carry(0, solo.machine.handleResponse(0, 0, new Response.Snapshot(1, values.map)));
        return solo;
    }

    /** Values to begin with. */
    private static final class SortedValues {
        final TreeMap<String, String> map = new TreeMap<>();

        SortedValues(int paths, String value) {
            for (int i = 0; i < paths; i++) {
                map.put("limits/" + i, value);
            }
        }
    }

    @Test
    void tooManyPathsAreRefused() {
        Solo solo = with(new SortedValues(ProtocolParameters.MAX_PATH_COUNT - 1, "1"));
        assertEquals(new Outcome.Committed(2), solo.put(Map.of("realms/last", "1")));
        faulty(solo.put(Map.of("realms/more", "1")), "20000 are allowed");
        assertEquals(new Outcome.Committed(3), solo.put(Map.of("realms/last", "2")));
    }

    @Test
    void tooManyBytesAreRefused() {
        Solo large = with(new SortedValues(1_047, "\"" + "x".repeat(1_988) + "\""));
        faulty(large.put(Map.of("limits/more", "\"" + "x".repeat(3_900) + "\"")), "2097152 are allowed");
        assertEquals(new Outcome.Committed(2), large.put(Map.of("limits/0", "1")));
    }

    @Test
    void aPathTooLongIsRefused() {
        assertEquals(List.of(), faultsOf("limits/" + "x".repeat(121)));
        assertFalse(faultsOf("limits/" + "x".repeat(122)).isEmpty());
    }

    private static List<ValidationError> faultsOf(String path) {
        return RolloutText.readWatchEvent(("{\"rev\":1,\"set\":{\"" + path + "\":1}}").getBytes(StandardCharsets.UTF_8))
                .errors();
    }

    @Test
    void whoIsOlderThanTheHistoryIsToldTheWhole() {
        Solo solo = new Solo();
        for (int i = 1; i <= ProtocolParameters.MAX_HISTORY_VERSION_COUNT + 1; i++) {
            assertEquals(new Outcome.Committed(i), solo.put(Map.of("limits/x", Integer.toString(i))));
        }
        assertFalse(solo.machine.history().covers(0));
        assertTrue(solo.machine.history().covers(1));
        solo.carry(0, solo.machine.openWatch(0, 5, 1));
        solo.carry(0, solo.machine.openWatch(0, 6, 0));
        solo.carry(1_000_000, solo.machine.tick(1_000_000));
        WatchEvent one = first(solo, 5);
        assertEquals(2, assertInstanceOf(WatchEvent.Update.class, one).rev());
        assertEquals(
                new WatchEvent.SnapshotPart(
                        ProtocolParameters.MAX_HISTORY_VERSION_COUNT + 1,
                        1,
                        1,
                        solo.machine.history().values()),
                first(solo, 6));
        assertInstanceOf(
                Outcome.Conflict.class,
                solo.change(9, Change.of("ffffffffffffffff", 0, Map.of("limits/y", "1"), List.of())));
        List<LogRecord> kept = solo.machine.toRecords();
        KeeperStateMachine again = new KeeperStateMachine(TERMS, ME, 1, List.of(ME), new ToyRules(false), kept, 2, 0);
        assertEquals(solo.machine.history().values(), again.history().values());
        assertEquals(kept, again.toRecords());
        KeeperStateMachine fromDisk =
                new KeeperStateMachine(TERMS, ME, 1, List.of(ME), new ToyRules(false), solo.disk, 2, 0);
        assertEquals(kept, fromDisk.toRecords());
    }

    private static WatchEvent first(Solo solo, long watch) {
        return solo.done.stream()
                .filter(e -> e instanceof Effect.SendEvent t
                        && t.watch() == watch
                        && !(t.event() instanceof WatchEvent.Heartbeat))
                .map(e -> ((Effect.SendEvent) e).event())
                .findFirst()
                .orElseThrow();
    }

    @Test
    void aWatchTooManyIsRefusedAndThereIsRoomAgain() {
        Solo solo = new Solo();
        for (int i = 0; i < ProtocolParameters.MAX_WATCH_COUNT; i++) {
            solo.carry(0, solo.machine.openWatch(0, i, 0));
        }
        assertEquals(0, solo.machine.rejectedWatches());
        solo.carry(0, solo.machine.openWatch(0, 1_000, 0));
        assertEquals(1, solo.machine.rejectedWatches());
        assertTrue(solo.done.stream().anyMatch(e -> e instanceof Effect.RejectWatch r && r.watch() == 1_000));
        solo.machine.watchEnded(7);
        solo.carry(0, solo.machine.openWatch(0, 1_001, 0));
        assertEquals(1, solo.machine.rejectedWatches());
        assertEquals(ProtocolParameters.MAX_WATCH_COUNT, solo.machine.openWatches());
    }

    @Test
    void aChangeTooManyIsRefusedAndTriesEnd() {
        Solo solo = new Solo();
        solo.hearsItself = false;
        for (int i = 0; i <= ProtocolParameters.MAX_QUEUED_CHANGE_COUNT; i++) {
            assertEquals(
                    null, solo.change(i, Change.of(String.format("%016x", i), 0, Map.of("limits/x", "1"), List.of())));
        }
        assertInstanceOf(
                Outcome.Unavailable.class,
                solo.change(99, Change.of("ffffffffffffffff", 0, Map.of("limits/x", "1"), List.of())));
        assertEquals(1, solo.machine.rejectedChanges());
        long phases = 0;
        long now = 0;
        while (solo.done.stream().noneMatch(e -> e instanceof Effect.CompleteChange c && c.call() == 0)) {
            assertTrue(
                    phases < TERMS.maxBallots() && now <= TERMS.proposalTimeoutUs() + TERMS.maxPhaseTimeoutUs(),
                    phases + " phases, " + now + " us");
            now = solo.machine.nextAtUs();
            List<Effect> effects = solo.machine.tick(now);
            phases += effects.stream()
                    .filter(e -> e instanceof Effect.Send s && s.request() instanceof Request.Prepare)
                    .count();
            solo.carry(now, effects);
        }
        assertTrue(phases > 1, "it has tried again");
        assertTrue(solo.done.stream()
                .anyMatch(e -> e instanceof Effect.CompleteChange c
                        && c.call() == 0
                        && c.outcome() instanceof Outcome.Unavailable));
    }

    @Test
    void anAnswerBetweenKeepersHasItsMostVersions() {
        Solo solo = new Solo();
        for (int i = 1; i <= ProtocolParameters.MAX_RESPONSE_VERSION_COUNT + 1; i++) {
            solo.put(Map.of("limits/x", Integer.toString(i)));
        }
        Effect.Reply reply = (Effect.Reply)
                solo.machine.handleRequest(0, 3, new Request.Fetch(0)).get(0);
        Response.Versions known = (Response.Versions) reply.answer();
        assertEquals(
                ProtocolParameters.MAX_RESPONSE_VERSION_COUNT, known.versions().size());
        assertEquals(ProtocolParameters.MAX_RESPONSE_VERSION_COUNT + 1, known.newestRev());
    }

    @Test
    void aReportOfANodeTooManyIsNotTakenIn() {
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
    void aNodeTellsTheFirstFaultsAlone() {
        Rules rules = new Rules() {
            @Override
            public List<ValidationError> validate(Map<String, String> whole) {
                return whole.keySet().stream()
                        .map(path -> new ValidationError(path, "is bad"))
                        .toList();
            }

            @Override
            public Set<String> pathsNeedingRestart(Map<String, String> first, Map<String, String> next) {
                return next.keySet();
            }
        };
        Subscriber subscriber = new Subscriber(TERMS, rules, 1, 1, 1, 0, new SortedValues(30, "1").map, 1, 0);
        long watch = ((Effect.OpenWatch) subscriber.tick(0).get(0)).watch();
        subscriber.watchOpened(1, watch);
        Effect.SendReport report = (Effect.SendReport) subscriber
                .handleEvent(2, watch, new WatchEvent.Update(1, new SortedValues(40, "2").map, new TreeSet<>()))
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
    void aPaceIsHeldToTheByte() {
        TokenBucket pace = new TokenBucket(0, 6_000, 4_096, 0);
        assertEquals(166_667, pace.readyAtUs(0, 1_000));
        pace.consume(166_667, 1_000);
        assertEquals(166_667 + 100_000_000, pace.readyAtUs(166_667 + 100_000_000, 4_096));
        pace.consume(166_667 + 100_000_000, 4_096);
        assertTrue(pace.readyAtUs(166_667 + 100_000_000, 9_999) > 166_667 + 100_682_000);
    }
}
