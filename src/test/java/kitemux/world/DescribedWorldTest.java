package kitemux.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.Settings;
import kitemux.app.App;
import kitemux.app.AppParser;
import kitemux.app.ConfigWriter;
import kitemux.app.Finding;
import kitemux.app.Rule;
import org.junit.jupiter.api.Test;

/**
 * Random descriptions, and worlds in which a node goes by them: what the checker lets through must keep
 * orders from
 * running twice, keyed work to servers that know its key, and everything from servers that drain. What an
 * owner means
 * stands in {@code never_twice} and {@code keys}; what a class says of itself is drawn apart from that.
 */
class DescribedWorldTest {
    /** Some of these have each fault of the checker's; so many more were played once, as the note says. */
    private static final int SOUND = Integer.getInteger("kitemux.described", 300);

    private static final int BOXES = 5;

    private static String pick(Random random, String... of) {
        return of[random.nextInt(of.length)];
    }

    /** Half of all that could be said well is said badly. */
    private static String description(Random random) {
        StringBuilder text = new StringBuilder("name = \"random\"\nlisten = \"10.0.0.1:8000\"\n");
        String never = pick(random, "[\"place-order\"]", "[\"place-order\"]", "[\"place-order\", \"add-photo\"]", "[]");
        text.append("never_twice = ").append(never).append('\n');
        text.append(pick(random, "", "discovery = \"10.2.0.1:8500\"\n"));
        for (int i = 0; i < BOXES; i++) {
            text.append("server \"b")
                    .append(i)
                    .append("\" {\n  address = \"10.1.0.")
                    .append(i + 1)
                    .append(":8000\"\n  rack = ")
                    .append(i % 2)
                    .append("\n  state = \"")
                    .append(pick(random, "ready", "ready", "ready", "draining"))
                    .append("\"\n}\n");
        }
        text.append(work(random, "view-page", "safe"));
        text.append(work(random, "add-photo", pick(random, "keyed", "keyed", "safe", "never-twice")));
        text.append(work(
                random, "place-order", pick(random, "never-twice", "never-twice", "never-twice", "safe", "keyed")));
        text.append("tenant \"a\" {\n  share = ")
                .append(pick(random, "0.5", "0.7"))
                .append("\n}\n")
                .append("tenant \"b\" {\n  share = ")
                .append(pick(random, "0.5", "0.2"))
                .append("\n}\nquota = 150\n");
        text.append("keys {\n  kept = \"")
                .append(pick(random, "60ms", "1200ms", "3s"))
                .append("\"\n  shared = \"")
                .append(pick(random, "all", "rack"))
                .append("\"\n}\n");
        text.append("limits {\n  attempts = ")
                .append(1 + random.nextInt(5))
                .append("\n  second_copies = ")
                .append(random.nextBoolean())
                .append("\n  connect = \"")
                .append(pick(random, "20ms", "50ms", "100ms"))
                .append("\"\n  retry_after = \"")
                .append(pick(random, "0s", "300ms", "1s"))
                .append("\"\n}\n");
        text.append("rules {\n  drain = \"")
                .append(pick(random, "100ms", "500ms", "1s"))
                .append("\"\n  cold_from = ")
                .append(pick(random, "0.2", "0.12"))
                .append("\n  cold = \"")
                .append(pick(random, "10s", "20s"))
                .append("\"\n}\n");
        return text.toString();
    }

    private static String work(Random random, String name, String again) {
        return "class \"" + name + "\" {\n  again = \"" + again + "\"\n  group = \""
                + pick(random, "all", "rack", "rack")
                + "\"\n  window = \""
                + (again.equals("keyed")
                        ? pick(random, "50ms", "1s", "2500ms")
                        : pick(random, "0ms", "0ms", "0ms", "1s"))
                + "\"\n  aim = \"" + pick(random, "100ms", "300ms")
                + "\"\n  deadline = \"" + pick(random, "500ms", "1s") + "\"\n}\n";
    }

    /** What the owner means of each class, and how the node is told all the same. */
    private static World.Terms terms(App app) {
        Settings told = ConfigWriter.toSettings(app);
        Settings truth = ConfigWriter.toSettings(app);
        truth.classes.replaceAll(of -> new RequestClass(
                of.name(),
                of.targetLatencyUs(),
                0,
                of.deadlineUs(),
                of.worth(),
                of.lateWorth(),
                app.neverTwiceClasses().contains(of.name()) ? RetrySafety.UNSAFE : of.retrySafety(),
                app.keys().shared(),
                of.retrySafety() == RetrySafety.KEYED ? app.keys().keptUs() : of.dedupWindowUs(),
                false));
        Set<Integer> draining = new HashSet<>();
        for (int i = 0; i < app.servers().size(); i++) {
            if (app.servers().get(i).state() != App.State.READY) {
                draining.add(i);
            }
        }
        return new World.Terms(told, truth, draining);
    }

    private static World.Verdict play(long seed, App app) {
        Plan drawn = Plan.draw(seed);
        Plan plan = new Plan(
                4 * seed,
                BOXES,
                drawn.nodes(),
                2,
                drawn.lengthMs(),
                drawn.requests(),
                drawn.load(),
                drawn.rude(),
                drawn.leaving(),
                drawn.chokes(),
                app.limits().secondCopies(),
                app.keys().shared(),
                app.keys().keptUs(),
                drawn.sockets(),
                drawn.wholeLists(),
                drawn.startMs(),
                drawn.faults());
        return World.play(plan, terms(app));
    }

    /** A description that has only findings of some rules, or none, by its number. */
    private record Drawn(long seed, App app, Set<Rule> rules) {
        static Drawn of(long seed) {
            AppParser.Result reading = AppParser.parse(description(new Random(seed)));
            Set<Rule> rules = new HashSet<>();
            reading.findings().forEach((Finding f) -> rules.add(f.rule()));
            return new Drawn(seed, reading.app(), rules);
        }
    }

    @Test
    void whatTheCheckerLetsThroughBreaksNoRule() {
        List<String> broken = new ArrayList<>();
        long[] served = new long[1];
        LongStream.iterate(1, seed -> seed + 1)
                .mapToObj(Drawn::of)
                .filter(drawn -> drawn.rules.isEmpty())
                .limit(SOUND)
                .toList()
                .parallelStream()
                .forEach(drawn -> {
                    World.Verdict verdict = play(drawn.seed, drawn.app);
                    synchronized (broken) {
                        served[0] += verdict.served();
                        verdict.breaches().forEach(breach -> broken.add("description " + drawn.seed + ": " + breach));
                    }
                });
        assertEquals(List.of(), broken);
        assertTrue(served[0] > 100L * SOUND, "it was no idle run: " + served[0]);
    }

    /** Else the test above could not fail. */
    @Test
    void whatItTurnsDownForNeverTwiceOrForKeysWouldBreakOne() {
        for (Set<Rule> only : List.of(Set.of(Rule.NEVER_TWICE), Set.of(Rule.WINDOW), Set.of(Rule.GROUP))) {
            List<Drawn> turnedDown = LongStream.rangeClosed(1, 20_000)
                    .mapToObj(Drawn::of)
                    .filter(drawn -> drawn.rules.equals(only))
                    .limit(200)
                    .toList();
            assertTrue(turnedDown.size() >= 50, only + " is drawn too rarely: " + turnedDown.size());
            long harmful = turnedDown.parallelStream()
                    .filter(drawn -> play(drawn.seed, drawn.app).breaches().stream()
                            .anyMatch(breach -> breach.toString().contains("repeated")
                                    || breach.toString().contains("may have run")))
                    .count();
            assertTrue(
                    harmful > 0, only + ": none of " + turnedDown.size() + " did harm when it was played all the same");
        }
    }
}
