package kitemux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Outcome;
import kitemux.Balancer.Request;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.Result;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Sends long random event sequences with fixed seeds and checks the module's actions against all four rules. */
class RandomEventsTest {

    /** An attempt as the rule checker knows it. */
    private static final class Attempt {
        ServerEntry server;
        long sentAt;
        Result result;
    }

    /** A request as the rule checker knows it. */
    private static final class TrackedRequest {
        RequestClass requestClass;
        long deadlineAt;
        boolean finished;
        final List<Attempt> attempts = new ArrayList<>();

        Attempt firstPossiblyExecutedAttempt() {
            return attempts.stream()
                    .filter(a -> a.result == null || !a.result.neverRan)
                    .findFirst()
                    .orElse(null);
        }
    }

    /** Acts as the node and fails the test on the first violated rule. */
    private static final class RuleChecker implements Balancer.Actions {
        final SplittableRandom random;
        final Settings settings = TestNode.settings();
        final Balancer balancer;
        final Map<Long, TrackedRequest> requests = new LinkedHashMap<>();
        final Map<String, ServerEntry> servers = new LinkedHashMap<>();
        final Map<ServerEntry, List<long[]>> coldSends = new LinkedHashMap<>();
        final PriorityQueue<long[]> answers = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
        final PriorityQueue<Long> wakeUps = new PriorityQueue<>();
        final StringBuilder trace = new StringBuilder();
        long now = 5_000_000;
        long nextId = 1;
        long servedCount;
        int finalAnswerCount;

        RuleChecker(long seed) {
            random = new SplittableRandom(seed);
            settings.classes.replaceAll(c -> new RequestClass(
                    c.name(),
                    c.targetLatencyUs(),
                    0,
                    c.deadlineUs(),
                    c.worth(),
                    random.nextInt(2) * 0.5,
                    c.retrySafety(),
                    c.dedupScope(),
                    80_000,
                    false));
            settings.nodes = 1 + random.nextInt(5);
            settings.maxAttempts = 1 + random.nextInt(5);
            settings.cancellationAllowed = random.nextBoolean();
            settings.hedgingAllowed = random.nextBoolean();
            settings.listOnRequest = random.nextBoolean();
            settings.crossZonePrice = random.nextBoolean() ? 0.02 : 0;
            settings.tickUs = 1_000 * (1 + random.nextInt(5));
            settings.drainGraceUs = 0;
            settings.warmUpUs = 8_000_000;
            settings.coldCapacityRatio = 0.2;
            settings.warmKeys = random.nextBoolean();
            balancer = new ServiceQBalancer(settings, seed, this);
        }

        @Override
        public void send(long requestId, String serverId, long untilUs) {
            trace.append(now)
                    .append(" send ")
                    .append(requestId)
                    .append(serverId)
                    .append('\n');
            TrackedRequest request = requests.get(requestId);
            ServerEntry server = servers.get(serverId);
            assertNotNull(request, "the request is known and has not been removed");
            assertFalse(request.finished, "rule 1: nothing is sent after the final answer");
            assertTrue(untilUs <= request.deadlineAt, "rule 1: the attempt ends before the deadline");
            assertTrue(now < request.deadlineAt, "rule 1: the deadline has not passed");
            assertTrue(request.attempts.size() < settings.maxAttempts);
            Attempt executedAttempt = request.firstPossiblyExecutedAttempt();
            if (executedAttempt != null) {
                assertTrue(
                        request.requestClass.retrySafety() != RetrySafety.UNSAFE,
                        "rule 2: an unsafe request that may have run is not retried");
                if (request.requestClass.retrySafety() == RetrySafety.KEYED) {
                    assertTrue(
                            now <= executedAttempt.sentAt + request.requestClass.dedupWindowUs(),
                            "rule 2: the retry is within the dedup window");
                    assertTrue(
                            sameGroup(request.requestClass.dedupScope(), executedAttempt.server, server),
                            "rule 2: the retry is within the dedup scope");
                }
                assertTrue(settings.hedgingAllowed || request.attempts.stream().allMatch(a -> a.result != null));
            }
            assertTrue(server.state() == ServerState.READY, "rule 3: nothing is sent to a draining or gone server");
            if (server.startedAtUs() > 0 && now < server.startedAtUs() + settings.warmUpUs) {
                coldSends.computeIfAbsent(server, k -> new ArrayList<>()).add(new long[] {now, readyServerCount()});
            }
            Attempt attempt = new Attempt();
            attempt.server = server;
            attempt.sentAt = now;
            request.attempts.add(attempt);
            boolean timesOut = random.nextInt(30) == 0;
            long at = timesOut ? untilUs : Math.min(untilUs, now + 1_000 + random.nextInt(120_000));
            answers.add(new long[] {
                at,
                requestId,
                request.attempts.size() - 1,
                timesOut || at == untilUs ? Result.TIMEOUT.ordinal() : drawResult()
            });
        }

        private int drawResult() {
            Result[] failures = {Result.ERROR, Result.FULL, Result.CONNECT_FAILED, Result.RESET, Result.MOOT};
            return (random.nextInt(8) > 0 ? Result.OK : failures[random.nextInt(failures.length)]).ordinal();
        }

        private static boolean sameGroup(DedupScope group, ServerEntry a, ServerEntry b) {
            return group == DedupScope.ALL || (group == DedupScope.ZONE ? a.zone() == b.zone() : a.cell() == b.cell());
        }

        private void finish(long id, boolean refusal) {
            trace.append(now).append(refusal ? " refuse " : " fail ").append(id).append('\n');
            TrackedRequest request = requests.get(id);
            assertNotNull(request);
            assertFalse(request.finished, "rule 1: there is only one final answer");
            assertTrue(now <= request.deadlineAt + settings.tickUs, "rule 1: the answer comes in time");
            if (refusal && request.firstPossiblyExecutedAttempt() != null) {
                assertTrue(
                        request.requestClass.retrySafety() == RetrySafety.SAFE
                                || request.requestClass.retrySafety() == RetrySafety.KEYED
                                        && request.requestClass.dedupScope() == DedupScope.ALL,
                        "rule 2: a refusal promises that a retry is harmless");
            }
            request.finished = true;
            finalAnswerCount++;
        }

        @Override
        public void refuse(long requestId, long retryAfterUs) {
            finish(requestId, true);
        }

        @Override
        public void fail(long requestId) {
            finish(requestId, false);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            assertTrue(settings.cancellationAllowed);
            Attempt out = requests.get(requestId).attempts.get(attempt);
            if (out.result == null) {
                answers.removeIf(a -> a[1] == requestId && a[2] == attempt);
                answers.add(new long[] {now, requestId, attempt, Result.CANCELLED.ordinal()});
            }
        }

        @Override
        public void wakeAt(long atUs) {
            assertTrue(atUs > now);
            wakeUps.add(atUs);
        }

        @Override
        public void closeIdle(String serverId) {}

        @Override
        public void probe(String serverId) {
            assertTrue(settings.probes);
        }

        @Override
        public void subscribe() {
            assertTrue(settings.listOnRequest);
        }

        @Override
        public void log(String line) {
            trace.append(line).append('\n');
        }

        void submit() {
            TrackedRequest request = new TrackedRequest();
            int classIndex = random.nextInt(settings.classes.size());
            request.requestClass = settings.classes.get(classIndex);
            long left = random.nextInt(10) == 0 ? random.nextInt(3_000) : 20_000 + random.nextInt(900_000);
            request.deadlineAt = now + left;
            long id = nextId++;
            requests.put(id, request);
            balancer.onRequest(
                    now,
                    new Request(
                            id,
                            classIndex,
                            random.nextInt(2) - 1,
                            left,
                            0,
                            false,
                            random.nextInt(4) == 0 ? null : "k" + random.nextInt(40)));
        }

        void changeList() {
            List<ServerEntry> changes = new ArrayList<>();
            for (int i = 0; i < 1 + random.nextInt(3); i++) {
                int number = random.nextInt(9);
                ServerState state = ServerState.values()[Math.max(0, random.nextInt(5) - 2)];
                ServerEntry entry = new ServerEntry(
                        "s" + number,
                        number % 2,
                        number % 3,
                        state,
                        1,
                        state == ServerState.READY && random.nextInt(3) == 0 ? now : 0);
                if (servers.containsKey(entry.id()) || state != ServerState.GONE) {
                    changes.add(entry);
                }
            }
            if (random.nextInt(6) == 0) {
                changes.removeIf(e -> e.state() == ServerState.GONE);
                servers.replaceAll(
                        (id, e) -> new ServerEntry(id, e.zone(), e.cell(), ServerState.GONE, 1, e.startedAtUs()));
                changes.forEach(e -> servers.put(e.id(), e));
                balancer.onServers(now, ListKind.FULL, changes);
            } else {
                changes.forEach(e -> servers.put(e.id(), e));
                balancer.onServers(now, ListKind.CHANGES, changes);
            }
        }

        void complete(long[] due) {
            TrackedRequest request = requests.get(due[1]);
            Attempt attempt = request.attempts.get((int) due[2]);
            attempt.result = Result.values()[(int) due[3]];
            if (attempt.result == Result.OK && !request.finished) {
                request.finished = true;
                finalAnswerCount++;
                servedCount++;
            }
            balancer.onOutcome(
                    now,
                    new Outcome(due[1], (int) due[2], attempt.result, now - attempt.sentAt, request.finished, null));
        }

        void run(int events) {
            balancer.onServers(now, ListKind.CACHED, List.of());
            for (int i = 0; i < 5; i++) {
                changeList();
            }
            long nextEvent = now;
            for (int done = 0; done < events || !answers.isEmpty() || openRequestCount() > 0; ) {
                long at = done < events ? nextEvent : Long.MAX_VALUE;
                at = Math.min(at, answers.isEmpty() ? Long.MAX_VALUE : answers.peek()[0]);
                at = Math.min(at, wakeUps.isEmpty() ? Long.MAX_VALUE : wakeUps.peek());
                assertTrue(at < Long.MAX_VALUE, "rule 1: requests are pending and no wake-up is scheduled");
                now = Math.max(now, at);
                if (!answers.isEmpty() && answers.peek()[0] <= now) {
                    complete(answers.poll());
                } else if (!wakeUps.isEmpty() && wakeUps.peek() <= now) {
                    wakeUps.poll();
                    balancer.onWake(now);
                } else {
                    done++;
                    nextEvent = now + random.nextInt(30_000);
                    int choice = random.nextInt(100);
                    if (choice < 2) {
                        changeList();
                    } else if (choice < 3) {
                        balancer.onListFailed(now);
                    } else if (choice < 5 && nextId > 1) {
                        disconnectClient(1 + random.nextLong(nextId - 1));
                    } else {
                        submit();
                    }
                }
            }
        }

        private long readyServerCount() {
            return servers.values().stream()
                    .filter(e -> e.state() == ServerState.READY)
                    .count();
        }

        private long openRequestCount() {
            return requests.values().stream().filter(h -> !h.finished).count();
        }

        private void disconnectClient(long id) {
            TrackedRequest request = requests.get(id);
            if (!request.finished) {
                request.finished = true;
                finalAnswerCount++;
            }
            balancer.onClientGone(now, id);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void allRulesHoldForRandomEventSequences(long seed) {
        RuleChecker checker = new RuleChecker(seed);
        checker.run(1_500);
        assertEquals(
                checker.requests.size(),
                checker.finalAnswerCount,
                "rule 1: every request has exactly one final answer");
        assertTrue(checker.servedCount > 100, "the run must serve requests: " + checker.servedCount);
        // Rule 4: over any period this node stays below its part of the overload ratio times the capacity of a cold
        // server. Its answers, divided by the servers then ready (three at most, since many are always gone), measure
        // its part of the capacity of a warm server. Two additional requests are chance.
        double rate = checker.servedCount / ((checker.now - 5_000_000) / 1e6);
        Settings settings = checker.settings;
        checker.coldSends.forEach((start, sends) -> {
            for (long[] first : sends) {
                List<long[]> span = sends.stream()
                        .filter(s -> s[0] >= first[0] && s[0] < first[0] + settings.overloadWindowUs)
                        .toList();
                double ready =
                        Math.min(3, span.stream().mapToLong(s -> s[1]).min().getAsLong());
                double age = Math.min(
                        1, (first[0] + settings.overloadWindowUs - start.startedAtUs()) / (double) settings.warmUpUs);
                double share = settings.coldCapacityRatio + (1 - settings.coldCapacityRatio) * age;
                assertTrue(
                        span.size() - 2
                                <= settings.overloadRatio * share * rate / ready * settings.overloadWindowUs / 1e6,
                        "rule 4: " + span.size() + " sends in one period");
            }
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22})
    void sameEventsAndSeedGiveSameActions(long seed) {
        RuleChecker one = new RuleChecker(seed);
        RuleChecker two = new RuleChecker(seed);
        one.run(800);
        two.run(800);
        assertEquals(one.trace.toString(), two.trace.toString());
    }
}
