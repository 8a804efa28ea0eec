package kitemux.rollout;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * Explores all orders in which the messages of three voters can arrive while two of them propose one change
 * each, so that two versions are chosen. A limited number of timeouts and restarts is included. Lost
 * messages are covered too, since a message may remain undelivered at the end of a history.
 *
 * <p>A response arrives together with its request. A promise or an acceptance that arrives later says
 * nothing else, so delaying it adds no further cases.
 */
final class MessageInterleavings {
    private static final int KEEPER_COUNT = 3;
    private static final Rules NO_RULES = new Rules() {
        @Override
        public List<ValidationError> validate(Map<String, String> values) {
            return List.of();
        }

        @Override
        public Set<String> pathsNeedingRestart(Map<String, String> first, Map<String, String> next) {
            return Set.of();
        }
    };

    private final int maxTimeouts;
    private final int maxRestarts;
    private final int maxSteps;
    private final Defect defect;
    /** 64-bit hashes of the states seen. Among a million states, two collide in one of 36 million runs. */
    private final Set<Long> seenStateHashes = ConcurrentHashMap.newKeySet();

    private volatile InvariantChecker.Violation violation;
    private final AtomicLong completedStates = new AtomicLong();

    /**
     * Creates an exploration with limits.
     *
     * @param maxTimeouts total number of phases that may time out
     * @param maxRestarts total number of times that a voter may restart
     * @param maxSteps number of steps of each order; nine is the least for two versions
     */
    MessageInterleavings(int maxTimeouts, int maxRestarts, int maxSteps, Defect defect) {
        this.maxTimeouts = maxTimeouts;
        this.maxRestarts = maxRestarts;
        this.maxSteps = maxSteps;
        this.defect = defect;
    }

    /**
     * The state of all keepers and the messages in flight. A step is the index of the message to deliver; a
     * negative number denotes a timeout or a restart of a keeper.
     */
    private static final class SimulatedWorld {
        final KeeperStateMachine[] keepers = new KeeperStateMachine[KEEPER_COUNT];
        final List<List<LogRecord>> diskRecords = new ArrayList<>();
        final int[] incarnations = new int[KEEPER_COUNT];
        final long[] nowUs = new long[KEEPER_COUNT];
        final List<Message> messagesInFlight = new ArrayList<>();
        int timeouts;
        int restarts;
        int requestCount;
    }

    /** A request in flight. */
    private record Message(int from, int fromIncarnation, int to, Request request) {
        @Override
        public String toString() {
            String what = request instanceof Request.Prepare r
                    ? "p" + r.rev() + " " + r.ballot()
                    : request instanceof Request.Accept r
                            ? "a" + r.rev() + " " + r.ballot() + r.value().id()
                            : "c" + ((Request.Chosen) request).version().rev() + " "
                                    + ((Request.Chosen) request)
                                            .version()
                                            .change()
                                            .id();
            return from + "/" + fromIncarnation + ">" + to + what;
        }
    }

    int stateCount() {
        return seenStateHashes.size();
    }

    /** Returns the number of states in which both changes were chosen. */
    long completedStates() {
        return completedStates.get();
    }

    /** Explores all orders. Returns the first violation, or null if there is none. */
    InvariantChecker.Violation firstViolation() {
        List<ExploredState> level = List.of(new ExploredState(new byte[0], possibleSteps(replay(new byte[0]))));
        for (int depth = 0; depth < maxSteps && violation == null && !level.isEmpty(); depth++) {
            level = level.parallelStream().flatMap(this::successors).toList();
        }
        return violation;
    }

    private Stream<ExploredState> successors(ExploredState state) {
        List<ExploredState> successors = new ArrayList<>();
        for (byte step : state.possibleSteps) {
            byte[] path = Arrays.copyOf(state.path, state.path.length + 1);
            path[state.path.length] = step;
            SimulatedWorld world = replay(path);
            if (violation == null && seenStateHashes.add(stateHash(world))) {
                if (Arrays.stream(world.keepers)
                        .anyMatch(keeper -> keeper.history().rev() >= 2)) {
                    completedStates.incrementAndGet();
                }
                successors.add(new ExploredState(path, possibleSteps(world)));
            }
        }
        return successors.stream();
    }

    /** A sequence of steps that leads to a new state, and the steps possible after it. */
    private record ExploredState(byte[] path, byte[] possibleSteps) {}

    private byte[] possibleSteps(SimulatedWorld world) {
        byte[] steps = new byte[world.messagesInFlight.size() + 2 * KEEPER_COUNT];
        int stepCount = 0;
        for (int i = 0; i < world.messagesInFlight.size(); i++) {
            steps[stepCount++] = (byte) i;
        }
        for (int k = 0; k < KEEPER_COUNT; k++) {
            if (world.timeouts < maxTimeouts && world.keepers[k].toString().contains("ING ")) {
                steps[stepCount++] = (byte) (-1 - k);
            }
            if (world.restarts < maxRestarts) {
                steps[stepCount++] = (byte) (-1 - KEEPER_COUNT - k);
            }
        }
        return Arrays.copyOf(steps, stepCount);
    }

    private static long stateHash(SimulatedWorld world) {
        StringBuilder text = new StringBuilder();
        for (int k = 0; k < KEEPER_COUNT; k++) {
            text.append(world.keepers[k]).append(world.incarnations[k]).append('|');
        }
        List<String> sortedMessages =
                world.messagesInFlight.stream().map(Message::toString).sorted().toList();
        text.append(sortedMessages).append(world.timeouts).append(world.restarts);
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    private SimulatedWorld replay(byte[] path) {
        SimulatedWorld world = new SimulatedWorld();
        InvariantChecker checker = new InvariantChecker(Map.of(0L, Map.of()), values -> true, (node, values) -> true);
        for (int k = 0; k < KEEPER_COUNT; k++) {
            world.diskRecords.add(new ArrayList<>());
            startKeeper(world, k);
        }
        for (int k = 0; k < 2; k++) {
            // Both proposers have heard from all voters, so that they accept changes.
            for (int other = 0; other < KEEPER_COUNT; other++) {
                world.keepers[k].handleResponse(0, other, new Response.Versions(0, 0, List.of()));
            }
            execute(
                    world,
                    checker,
                    k,
                    world.keepers[k].proposeChange(
                            0, k, Change.of(String.format("%016x", k + 1), 0, Map.of("realms/" + k, "1"), List.of())));
        }
        for (int i = 0; i < path.length; i++) {
            takeStep(world, checker, path[i]);
        }
        if (!checker.violations().isEmpty()) {
            violation = checker.violations().get(0);
        }
        return world;
    }

    private void startKeeper(SimulatedWorld world, int k) {
        List<Voter> voters = List.of(new Voter(0, "a"), new Voter(1, "a"), new Voter(2, "a"));
        world.keepers[k] = new KeeperStateMachine(
                ProtocolParameters.defaults(),
                voters.get(k),
                KEEPER_COUNT,
                voters,
                NO_RULES,
                world.diskRecords.get(k),
                7,
                world.nowUs[k]);
    }

    private void takeStep(SimulatedWorld world, InvariantChecker checker, int step) {
        if (step < -KEEPER_COUNT) {
            int k = -step - 1 - KEEPER_COUNT;
            world.restarts++;
            world.incarnations[k]++;
            if (defect.keepsIdentityOfEmptyFolder()) {
                world.diskRecords.get(k).clear();
            }
            startKeeper(world, k);
            return;
        }
        if (step < 0) {
            int k = -step - 1;
            world.timeouts++;
            world.nowUs[k] += 600_000;
            execute(world, checker, k, world.keepers[k].tick(world.nowUs[k]));
            return;
        }
        Message message = world.messagesInFlight.remove(step);
        int k = message.to;
        execute(
                world,
                checker,
                k,
                world.keepers[k].handleRequest(
                        world.nowUs[k], 1, defect.request(message.request, ++world.requestCount)),
                message);
    }

    private void execute(SimulatedWorld world, InvariantChecker checker, int k, List<Effect> effects) {
        execute(world, checker, k, effects, null);
    }

    private void execute(SimulatedWorld world, InvariantChecker checker, int k, List<Effect> effects, Message message) {
        for (Effect effect : effects) {
            if (effect instanceof Effect.Send send && !(send.request() instanceof Request.Fetch)) {
                world.messagesInFlight.add(new Message(k, world.incarnations[k], send.to(), send.request()));
            } else if (effect instanceof Effect.Reply reply
                    && world.incarnations[message.from] == message.fromIncarnation) {
                // A response to an earlier process does not reach a later one.
                execute(
                        world,
                        checker,
                        message.from,
                        world.keepers[message.from].handleResponse(
                                world.nowUs[message.from], k, defect.response(message.request, reply.answer())));
            } else if (effect instanceof Effect.Persist persist) {
                if (defect.syncs(persist.entry())) {
                    world.diskRecords.get(k).add(persist.entry());
                }
                if (persist.entry() instanceof LogRecord.Voted voted
                        && voted.vote().accepted() != null) {
                    checker.observe(new InvariantChecker.Persisted(
                            0, k, voted.vote().rev(), voted.vote().accepted().id()));
                }
                execute(world, checker, k, persist.then(), message);
            }
        }
        History history = world.keepers[k].history();
        for (Version version : history.versionsAfter(0, ProtocolParameters.MAX_HISTORY_VERSION_COUNT)) {
            checker.observe(new InvariantChecker.Known(
                    0,
                    "keeper " + k + " of " + version.rev(),
                    version.rev(),
                    version.change().id(),
                    Map.of("of", version.change().toString())));
        }
    }
}
