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
 * An answer comes as its request arrives: a promise or an acceptance stays as true as it was, so that one
 * that comes later tells nothing else.
 *
 * <p>Three keepers that all vote, two of which propose a change each, so that two versions come to be: every
 * order in which what they say to each other can arrive, with some that are given up for lost and some that
 * start anew. What never arrives is lost: a history that stops anywhere is one of them, too.
 */
final class Orders {
    private static final int KEEPERS = 3;
    private static final Rules NO_RULES = new Rules() {
        @Override
        public List<ValidationError> validate(Map<String, String> whole) {
            return List.of();
        }

        @Override
        public Set<String> pathsNeedingRestart(Map<String, String> first, Map<String, String> next) {
            return Set.of();
        }
    };

    private final int timeouts;
    private final int restarts;
    private final int steps;
    private final Defect defect;
    /** States by 64 bits of what they say: of a million, two fall together once in 36 million runs. */
    private final Set<Long> seen = ConcurrentHashMap.newKeySet();

    private volatile Judge.Breach breach;
    private final AtomicLong whole = new AtomicLong();

    /**
     * What is gone through.
     *
     * @param timeouts how often proposers give up a phase, all together
     * @param restarts how often a voter starts anew, all together
     * @param steps of these orders, the first so many; nine make two versions
     */
    Orders(int timeouts, int restarts, int steps, Defect defect) {
        this.timeouts = timeouts;
        this.restarts = restarts;
        this.steps = steps;
        this.defect = defect;
    }

    /**
     * One step: the message of this place arrives, or from KEEPERS places before 0 on, what befalls a keeper.
     */
    private static final class World {
        final KeeperStateMachine[] keepers = new KeeperStateMachine[KEEPERS];
        final List<List<LogRecord>> disks = new ArrayList<>();
        final int[] lives = new int[KEEPERS];
        final long[] nowUs = new long[KEEPERS];
        final List<Message> flying = new ArrayList<>();
        int timeouts;
        int restarts;
        int turns;
    }

    /** A request on its way. */
    private record Message(int from, int fromLife, int to, Request request) {
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
            return from + "/" + fromLife + ">" + to + what;
        }
    }

    int states() {
        return seen.size();
    }

    /** How many states had both changes chosen. */
    long whole() {
        return whole.get();
    }

    /** Goes through all; what was broken, or null. */
    Judge.Breach broken() {
        List<Node> level = List.of(new Node(new byte[0], choices(play(new byte[0]))));
        for (int depth = 0; depth < steps && breach == null && !level.isEmpty(); depth++) {
            level = level.parallelStream().flatMap(this::next).toList();
        }
        return breach;
    }

    private Stream<Node> next(Node node) {
        List<Node> found = new ArrayList<>();
        for (byte choice : node.choices) {
            byte[] path = Arrays.copyOf(node.path, node.path.length + 1);
            path[node.path.length] = choice;
            World world = play(path);
            if (breach == null && seen.add(state(world))) {
                if (Arrays.stream(world.keepers)
                        .anyMatch(keeper -> keeper.history().rev() >= 2)) {
                    whole.incrementAndGet();
                }
                found.add(new Node(path, choices(world)));
            }
        }
        return found.stream();
    }

    /** A way to a state, and where it may go on. */
    private record Node(byte[] path, byte[] choices) {}

    private byte[] choices(World world) {
        byte[] found = new byte[world.flying.size() + 2 * KEEPERS];
        int n = 0;
        for (int i = 0; i < world.flying.size(); i++) {
            found[n++] = (byte) i;
        }
        for (int k = 0; k < KEEPERS; k++) {
            if (world.timeouts < timeouts && world.keepers[k].toString().contains("ING ")) {
                found[n++] = (byte) (-1 - k);
            }
            if (world.restarts < restarts) {
                found[n++] = (byte) (-1 - KEEPERS - k);
            }
        }
        return Arrays.copyOf(found, n);
    }

    private static long state(World world) {
        StringBuilder text = new StringBuilder();
        for (int k = 0; k < KEEPERS; k++) {
            text.append(world.keepers[k]).append(world.lives[k]).append('|');
        }
        List<String> flying =
                world.flying.stream().map(Message::toString).sorted().toList();
        text.append(flying).append(world.timeouts).append(world.restarts);
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    private World play(byte[] path) {
        World world = new World();
        Judge judge = new Judge(Map.of(0L, Map.of()), values -> true, (node, values) -> true);
        for (int k = 0; k < KEEPERS; k++) {
            world.disks.add(new ArrayList<>());
            start(world, k);
        }
        for (int k = 0; k < 2; k++) {
            // Each has heard the others, so that it takes calls.
            for (int other = 0; other < KEEPERS; other++) {
                world.keepers[k].handleResponse(0, other, new Response.Versions(0, 0, List.of()));
            }
            done(
                    world,
                    judge,
                    k,
                    world.keepers[k].proposeChange(
                            0, k, Change.of(String.format("%016x", k + 1), 0, Map.of("realms/" + k, "1"), List.of())));
        }
        for (int i = 0; i < path.length; i++) {
            step(world, judge, path[i]);
        }
        if (!judge.breaches().isEmpty()) {
            breach = judge.breaches().get(0);
        }
        return world;
    }

    private void start(World world, int k) {
        List<Voter> voters = List.of(new Voter(0, "a"), new Voter(1, "a"), new Voter(2, "a"));
        world.keepers[k] = new KeeperStateMachine(
                ProtocolParameters.defaults(),
                voters.get(k),
                KEEPERS,
                voters,
                NO_RULES,
                world.disks.get(k),
                7,
                world.nowUs[k]);
    }

    private void step(World world, Judge judge, int choice) {
        if (choice < -KEEPERS) {
            int k = -choice - 1 - KEEPERS;
            world.restarts++;
            world.lives[k]++;
            if (defect.keepsIdentity()) {
                world.disks.get(k).clear();
            }
            start(world, k);
            return;
        }
        if (choice < 0) {
            int k = -choice - 1;
            world.timeouts++;
            world.nowUs[k] += 600_000;
            done(world, judge, k, world.keepers[k].tick(world.nowUs[k]));
            return;
        }
        Message message = world.flying.remove(choice);
        int k = message.to;
        done(
                world,
                judge,
                k,
                world.keepers[k].handleRequest(world.nowUs[k], 1, defect.asked(message.request, ++world.turns)),
                message);
    }

    private void done(World world, Judge judge, int k, List<Effect> effects) {
        done(world, judge, k, effects, null);
    }

    private void done(World world, Judge judge, int k, List<Effect> effects, Message asked) {
        for (Effect effect : effects) {
            if (effect instanceof Effect.Send send && !(send.request() instanceof Request.Fetch)) {
                world.flying.add(new Message(k, world.lives[k], send.to(), send.request()));
            } else if (effect instanceof Effect.Reply reply && world.lives[asked.from] == asked.fromLife) {
                // An answer to an earlier life does not reach a later one.
                done(
                        world,
                        judge,
                        asked.from,
                        world.keepers[asked.from].handleResponse(
                                world.nowUs[asked.from], k, defect.answer(asked.request, reply.answer())));
            } else if (effect instanceof Effect.Persist write) {
                if (defect.syncs(write.entry())) {
                    world.disks.get(k).add(write.entry());
                }
                if (write.entry() instanceof LogRecord.Voted voted
                        && voted.vote().accepted() != null) {
                    judge.see(new Judge.OnDisk(
                            0, k, voted.vote().rev(), voted.vote().accepted().id()));
                }
                done(world, judge, k, write.then(), asked);
            }
        }
        History history = world.keepers[k].history();
        for (Version version : history.versionsAfter(0, ProtocolParameters.MAX_HISTORY_VERSION_COUNT)) {
            judge.see(new Judge.Known(
                    0,
                    "keeper " + k + " of " + version.rev(),
                    version.rev(),
                    version.change().id(),
                    Map.of("of", version.change().toString())));
        }
    }
}
