package kitemux.world;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Plays many worlds, one seed after another, and says which broke a rule. */
public final class FaultRuns {
    private static final long PROGRESS_MS = 2_000;
    /** So many failing seeds are listed; the rest is counted. */
    private static final int MOST_LISTED = 20;

    private final Scenario scenario;
    private final Defect defect;

    /**
     * Runs of one kind.
     *
     * @param kind its label; see {@link #kinds}
     * @param defect what is unsound in them on purpose, or {@link Defect#NONE}
     * @throws IllegalArgumentException if there is no such kind
     */
    public FaultRuns(String kind, Defect defect) {
        scenario = Scenario.of(kind);
        this.defect = defect;
        if (scenario == null) {
            throw new IllegalArgumentException(
                    "there is no kind " + kind + "; there are " + String.join(", ", kinds()));
        }
    }

    /** The labels of all kinds. */
    public static List<String> kinds() {
        return Arrays.stream(Scenario.values()).map(Scenario::label).toList();
    }

    /**
     * All seeds together.
     *
     * @param failing for each failing seed what is said of it
     * @param digest of all seeds' digests, in order
     */
    public record Summary(
            long seeds,
            long steps,
            double virtualMs,
            double realMs,
            long asked,
            long served,
            long refused,
            long failed,
            TreeMap<Long, List<Breach>> failing,
            long digest) {

        /** Seeds of which a rule was broken. */
        public int broken() {
            return failing.size();
        }

        /** The first failing seed's breaches, as lines; empty if there is none. */
        public List<String> firstBroken() {
            return failing.isEmpty()
                    ? List.of()
                    : failing.firstEntry().getValue().stream()
                            .map(Breach::toString)
                            .toList();
        }

        /** The first failing seed, or -1. */
        public long firstSeed() {
            return failing.isEmpty() ? -1 : failing.firstKey();
        }
    }

    /** Plays seeds from first to last, so many at once; says now and then how far it is, unless to null. */
    public Summary play(long first, long last, int jobs, PrintStream progress) throws InterruptedException {
        return playUntil(first, last, jobs, null, progress);
    }

    /** The same, to the first seed that breaks this rule. */
    Summary playUntil(long first, long last, int jobs, Rule rule, PrintStream progress) throws InterruptedException {
        AtomicLong next = new AtomicLong(first);
        AtomicLong done = new AtomicLong();
        TreeMap<Long, World.Verdict> verdicts = new TreeMap<>();
        AtomicLong firstBroken = new AtomicLong(Long.MAX_VALUE);
        long began = System.nanoTime();
        ExecutorService workers = Executors.newFixedThreadPool(jobs);
        for (int i = 0; i < jobs; i++) {
            workers.execute(() -> {
                long seed;
                while ((seed = next.getAndIncrement()) <= last && seed < firstBroken.get()) {
                    World.Verdict verdict = World.play(scenario.plan(seed), defect, null);
                    if (verdict.breaches().stream().anyMatch(b -> b.rule() == rule)) {
                        firstBroken.accumulateAndGet(seed, Math::min);
                    }
                    synchronized (verdicts) {
                        verdicts.put(seed, verdict);
                    }
                    done.incrementAndGet();
                }
            });
        }
        workers.shutdown();
        while (!workers.awaitTermination(PROGRESS_MS, TimeUnit.MILLISECONDS)) {
            if (progress != null) {
                double s = (System.nanoTime() - began) / 1e9;
                progress.printf(
                        Locale.ROOT, "%d of %d seeds, %.1f a second%n", done.get(), last - first + 1, done.get() / s);
            }
        }
        return summary(verdicts, (System.nanoTime() - began) / 1e6, firstBroken.get());
    }

    private static Summary summary(TreeMap<Long, World.Verdict> verdicts, double realMs, long upTo) {
        long steps = 0;
        double virtualMs = 0;
        long asked = 0;
        long served = 0;
        long refused = 0;
        long failed = 0;
        long digest = 0;
        long seeds = 0;
        TreeMap<Long, List<Breach>> failing = new TreeMap<>();
        for (var each : verdicts.headMap(upTo, upTo != Long.MAX_VALUE).entrySet()) {
            World.Verdict verdict = each.getValue();
            seeds++;
            steps += verdict.steps();
            virtualMs += verdict.virtualMs();
            asked += verdict.asked();
            served += verdict.served();
            refused += verdict.refused();
            failed += verdict.failed();
            digest = Tape.mix(digest ^ verdict.digest());
            if (!verdict.breaches().isEmpty()) {
                failing.put(each.getKey(), verdict.breaches());
            }
        }
        return new Summary(seeds, steps, virtualMs, realMs, asked, served, refused, failed, failing, digest);
    }

    /** Says what came of it; the exit code: 0 if no rule was broken, else 1. */
    public int report(Summary sum, PrintStream out) {
        sum.failing.entrySet().stream().limit(MOST_LISTED).forEach(each -> {
            out.println("seed " + each.getKey() + ": " + each.getValue().get(0)
                    + (each.getValue().size() > 1 ? " (and " + (each.getValue().size() - 1) + " more)" : ""));
            out.println("  play it again: java -jar target/kitemux.jar faults --seed " + each.getKey() + only());
        });
        if (sum.broken() > MOST_LISTED) {
            out.println("and " + (sum.broken() - MOST_LISTED) + " more seeds");
        }
        Runtime memory = Runtime.getRuntime();
        out.printf(
                Locale.ROOT,
                "%.1f seeds a second, virtual over real time %.0f, heap %d MiB of %d; "
                        + "%d tries, %d served, %d refused, %d failed; digest %016x%n",
                sum.seeds / (sum.realMs / 1e3),
                sum.virtualMs / sum.realMs,
                memory.totalMemory() - memory.freeMemory() >> 20,
                memory.maxMemory() >> 20,
                sum.asked,
                sum.served,
                sum.refused,
                sum.failed,
                sum.digest);
        long breaches = sum.failing.values().stream().mapToLong(List::size).sum();
        out.println(sum.seeds + " seeds, " + sum.steps + " steps, " + breaches + " broken rules");
        return sum.broken() == 0 ? 0 : 1;
    }

    private String only() {
        return scenario == Scenario.RANDOM ? "" : " --only " + scenario.label();
    }

    /**
     * Plays one seed and says all that it broke.
     *
     * @param without numbers of the faults that are left out, from 0
     * @param trace where what happens is written, line by line, or null
     * @return 0 if no rule was broken, else 1
     */
    public int playOne(long seed, List<Integer> without, Path trace, PrintStream out) throws IOException {
        Plan plan = scenario.plan(seed);
        List<Fault> left = new ArrayList<>();
        for (int i = 0; i < plan.faults().size(); i++) {
            out.println((without.contains(i) ? "  left out: " : "  fault " + i + ": ")
                    + plan.faults().get(i));
            if (!without.contains(i)) {
                left.add(plan.faults().get(i));
            }
        }
        World.Verdict verdict;
        if (trace == null) {
            verdict = World.play(plan.with(left), defect, null);
        } else {
            try (PrintWriter lines = new PrintWriter(Files.newBufferedWriter(trace, StandardCharsets.UTF_8))) {
                verdict = World.play(plan.with(left), defect, lines);
            }
        }
        verdict.breaches().forEach(out::println);
        out.printf(
                Locale.ROOT,
                "%d boxes, %d nodes, %.1f s: %d tries, %d served, %d refused, %d failed; " + "digest %016x%n",
                plan.boxes(),
                plan.nodes(),
                verdict.virtualMs() / 1e3,
                verdict.asked(),
                verdict.served(),
                verdict.refused(),
                verdict.failed(),
                verdict.digest());
        out.println(
                "1 seeds, " + verdict.steps() + " steps, " + verdict.breaches().size() + " broken rules");
        return verdict.breaches().isEmpty() ? 0 : 1;
    }

    /**
     * Leaves out one fault after another for as long as the same rule is still broken.
     *
     * @return the faults left, of which none can be left out, as lines; null if the seed breaks no rule
     */
    public List<String> shrink(long seed, PrintStream out) {
        Plan plan = scenario.plan(seed);
        World.Verdict verdict = World.play(plan, defect, null);
        if (verdict.breaches().isEmpty()) {
            return null;
        }
        Rule rule = verdict.breaches().get(0).rule();
        List<Fault> left = new ArrayList<>(plan.faults());
        boolean smaller = true;
        while (smaller) {
            smaller = false;
            for (int i = left.size() - 1; i >= 0; i--) {
                List<Fault> fewer = new ArrayList<>(left);
                fewer.remove(i);
                World.Verdict tried = World.play(plan.with(fewer), defect, null);
                if (tried.breaches().stream().anyMatch(b -> b.rule() == rule)) {
                    left = fewer;
                    verdict = tried;
                    smaller = true;
                }
            }
        }
        List<Integer> without = new ArrayList<>();
        for (int i = 0; i < plan.faults().size(); i++) {
            if (!left.contains(plan.faults().get(i))) {
                without.add(i);
            }
        }
        Breach first = verdict.breaches().stream()
                .filter(b -> b.rule() == rule)
                .findFirst()
                .orElseThrow();
        out.println("seed " + seed + " still breaks with " + left.size() + " of "
                + plan.faults().size() + " faults: " + first);
        left.forEach(f -> out.println("  " + f));
        out.println("  play it again: java -jar target/kitemux.jar faults --seed " + seed + only()
                + (without.isEmpty()
                        ? ""
                        : " --without "
                                + String.join(
                                        ",",
                                        without.stream().map(String::valueOf).toList())));
        return left.stream().map(Fault::toString).toList();
    }
}
