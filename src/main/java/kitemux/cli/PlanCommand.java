package kitemux.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import kitemux.bench.EmulatorBench;
import kitemux.fleet.Emulation;
import kitemux.fleet.Fleet;
import kitemux.fleet.Result;
import kitemux.plan.FleetFile;
import kitemux.plan.Planner;
import kitemux.plan.Queues;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Tells from a described fleet and load what holds, what breaks first, how many servers it needs. */
@Command(name = "plan", mixinStandardHelpOptions = true, description = {
    "Plays a described fleet with the decision module that serves in earnest, on virtual time, and tells "
        + "whether it holds a goal, at which load it breaks and by what, how many servers it needs, and "
        + "what losses cost.",
    "Exit code 0: today's fleet holds; 1: it does not; 2: the call or the description cannot be used."})
final class PlanCommand implements Callable<Integer> {
    private static final int MOST_JOBS = 256;
    /** On paper so much of what clients gave up is worked off all the same: a cancel halts no work. */
    private static final double WASTED = 0.5;
    private static final Set<String> QUESTIONS = Set.of("holds", "breaks", "boxes", "losses");

    @Spec
    private CommandSpec spec;

    @Option(names = "--fleet", paramLabel = "FILE", required = true, description = "the description, in HCL")
    private Path file;

    @Option(names = "--goal", paramLabel = "SHARE",
            description = "share of the worth asked for that is to be answered in time; 0.95 by default")
    private double goal = 0.95;

    @Option(names = "--ask", paramLabel = "WHAT", split = ",",
            description = "holds, breaks, boxes, losses; all by default")
    private List<String> questions = List.of("holds", "breaks", "boxes", "losses");

    @Option(names = "--jobs", paramLabel = "N", description = "how many runs at once; one for each core")
    private int jobs = Runtime.getRuntime().availableProcessors();

    @Option(names = "--speed", description = "measures how fast such a fleet is played, in place of all else")
    private boolean speed;

    @Override
    public Integer call() throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        List<String> faults = new ArrayList<>();
        if (!(goal > 0 && goal < 1)) {
            faults.add("--goal is not above 0 and under 1");
        }
        if (jobs < 1 || jobs > MOST_JOBS) {
            faults.add("--jobs is not from 1 to " + MOST_JOBS);
        }
        questions.stream().filter(q -> !QUESTIONS.contains(q)).forEach(q -> faults.add("--ask: " + q
                + " is none of holds, breaks, boxes, losses"));
        Fleet fleet = null;
        try {
            fleet = FleetFile.read(Files.readString(file), faults);
        } catch (IOException e) {
            faults.add("--fleet: " + file + " cannot be read: " + e.getMessage());
        }
        if (!faults.isEmpty()) {
            faults.forEach(fault -> err.println("kitemux: " + fault));
            err.flush();
            return Main.UNUSABLE;
        }
        if (speed) {
            new EmulatorBench(fleet, System.out).run();
            return Main.DONE;
        }
        ExecutorService pool = Executors.newFixedThreadPool(jobs);
        try {
            boolean holds = tell(fleet, new Planner((of, seeds) -> play(pool, of, seeds), goal), out);
            return holds ? Main.DONE : Main.FOUND;
        } finally {
            pool.shutdownNow();
            out.flush();
        }
    }

    private static List<Result> play(ExecutorService pool, Fleet fleet, List<Long> seeds) {
        List<Future<Result>> runs = seeds.stream().map(seed -> pool.submit(() -> Emulation.play(fleet, seed)))
                .toList();
        List<Result> results = new ArrayList<>();
        for (Future<Result> run : runs) {
            try {
                results.add(run.get());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted", e);
            } catch (ExecutionException e) {
                throw new IllegalStateException(e.getCause());
            }
        }
        return results;
    }

    private boolean tell(Fleet fleet, Planner planner, PrintWriter out) {
        Queues.Storm storm = Queues.storm(fleet.offered() * fleet.load().most(),
                fleet.clients().retries(), WASTED);
        line(out, "%d servers on %d racks, %d nodes; %.0f first tries a second are %.2f of what all can do",
                fleet.boxes(), fleet.racks(), fleet.nodes().count(), fleet.load().ratePerS(),
                        fleet.offered());
        if (storm.feedsItself()) {
            line(out, "on paper a storm of repeats feeds itself: %.2f tries for each first one",
                    storm.stormy());
        }
        Planner.Verdict today = planner.holds(fleet);
        line(out, "goal %.3f: %s%s; in time %s, in the worst 10 s %s", goal, today.holds() ? "holds"
                : "does not hold", today.surely() ? "" : " (a close call)", today.inTime(),
                        today.worstWindow());
        if (today.breaks() > 0) {
            line(out, "RULES BROKEN %d times, first: %s", today.breaks(), today.runs().stream()
                    .filter(run -> !run.told().isEmpty()).findFirst().map(run -> run.told().get(0))
                            .orElse(""));
        }
        Result one = today.runs().get(0);
        one.kinds().forEach(kind -> line(out,
                "  %s: busy %.2f, the busiest %.2f, at most %d connections, %d slow",
                kind.name(), kind.busy(), kind.busiest(), kind.mostConnections(), kind.choked()));
        line(out, "  nodes: busy %.2f, at most %.1f ms behind; %.2f tries a request; p50 %.1f, p99 %.1f ms",
                one.nodeBusy(), one.nodeMostLateUs() / 1e3, one.triesPerWish(), one.p50Us() / 1e3,
                one.p99Us() / 1e3);
        if (questions.contains("breaks")) {
            Planner.Break broken = planner.breaksAt(fleet);
            line(out, "breaks between %.2f and %.2f of this load, by:", broken.holdsAt(), broken.breaksAt());
            broken.by().forEach(cause -> line(out, "  %s: %.1f of what is missing", cause.what(),
                    cause.gains()));
        }
        if (questions.contains("boxes")) {
            planner.fewest(fleet).forEach(few -> line(out, few.count() < 0
                    ? "%s: no number of them holds the goal, %s" : "%s: %d hold the goal, cost %s",
                            few.kind(),
                    few.count() < 0 ? few.why() : few.count(), String.format(Locale.ROOT, "%.1f",
                            few.cost())));
        }
        if (questions.contains("losses")) {
            List<Planner.Loss> losses = new ArrayList<>(planner.losses(fleet));
            losses.add(planner.pulse(fleet));
            losses.forEach(loss -> line(out, "%s: in time %s, in the worst 10 s %.3f, %s%s", loss.what(),
                    loss.inTime(), loss.worstWindow().mean(), loss.never() == 1 ? "does not come back"
                    : String.format(Locale.ROOT, "back after %.1f s%s", loss.backAfterS(), loss.never() == 0
                            ? ""
                    : String.format(Locale.ROOT, ", %.0f%% of runs never", 100 * loss.never())),
                    loss.breaks() == 0 ? "" : ", RULES BROKEN " + loss.breaks() + " times"));
        }
        return today.holds();
    }

    private static void line(PrintWriter out, String format, Object... of) {
        out.println(String.format(Locale.ROOT, format, of));
    }
}
