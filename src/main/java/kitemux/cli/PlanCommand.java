package kitemux.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import kitemux.bench.EmulatorBench;
import kitemux.fleet.Emulation;
import kitemux.fleet.Fleet;
import kitemux.fleet.RunResult;
import kitemux.hcl.SourceLocations;
import kitemux.plan.CapturedWorkload;
import kitemux.plan.FleetFile;
import kitemux.plan.Planner;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Tells from a described fleet and load what holds, what breaks first, how many servers it needs. */
@Command(
        name = "plan",
        mixinStandardHelpOptions = true,
        description = {
            "Plays a described fleet with the decision module that serves in earnest, on virtual time, and tells "
                    + "whether it holds a goal, at which load it breaks and by what, how many servers it needs, and "
                    + "what losses cost.",
            "Exit code 0: today's fleet holds; 1: it does not; 2: the call or the description cannot be used."
        })
final class PlanCommand implements Callable<Integer> {
    private static final int MOST_JOBS = 256;
    private static final Set<String> QUESTIONS = Set.of("holds", "breaks", "boxes", "losses");

    @Spec
    private CommandSpec spec;

    @Option(names = "--fleet", paramLabel = "FILE", required = true, description = "the description, in HCL")
    private Path file;

    @Option(
            names = "--goal",
            paramLabel = "SHARE",
            description = "share of the worth asked for that is to be answered in time; 0.95 by default")
    private double goal = 0.95;

    @Option(
            names = "--ask",
            paramLabel = "WHAT",
            split = ",",
            description = "holds, breaks, boxes, losses; all by default")
    private List<String> questions = List.of("holds", "breaks", "boxes", "losses");

    @Option(names = "--jobs", paramLabel = "N", description = "how many runs at once; one for each core")
    private int jobs = Runtime.getRuntime().availableProcessors();

    @Option(
            names = "--load",
            paramLabel = "FILE",
            arity = "1..*",
            description = "captured load, in place of the described one")
    private List<Path> captured = List.of();

    @Option(names = "--work", description = "with --load: the work of each class from the captured answers too")
    private boolean work;

    @Option(names = "--json", description = "the answers as JSON")
    private boolean json;

    @Option(
            names = "--html",
            paramLabel = "FILE",
            description = "the answers as a page with charts as well, which opens without a network")
    private Path page;

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
        questions.stream()
                .filter(q -> !QUESTIONS.contains(q))
                .forEach(q -> faults.add("--ask: " + q + " is none of holds, breaks, boxes, losses"));
        if (work && captured.isEmpty()) {
            faults.add("--work needs --load");
        }
        Fleet fleet = null;
        try {
            String text = Files.readString(file);
            List<String> inFile = new ArrayList<>();
            fleet = FleetFile.read(text, inFile);
            faults.addAll(SourceLocations.faultsWithLocations(file.toString(), text, inFile));
        } catch (IOException e) {
            faults.add("--fleet: " + file + " cannot be read: " + e.getMessage());
        }
        if (faults.isEmpty() && !captured.isEmpty()) {
            fleet = CapturedWorkload.applyLoad(fleet, LoadCommand.summary(captured, 1, Map.of(), faults), faults);
            if (work) {
                fleet = CapturedWorkload.applyWork(
                        fleet, LoadCommand.speeds(captured, Map.of(), faults).estimateWork());
            }
            faults.addAll(fleet.validate());
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
            Planner planner = new Planner((of, seeds) -> play(pool, of, seeds), goal);
            PlanAnswers answers = PlanAnswers.of(fleet, goal, planner, Set.copyOf(questions));
            if (page != null) {
                Files.writeString(page, answers.page(file.getFileName().toString()));
            }
            if (json) {
                answers.json(out);
            } else {
                answers.text(out);
            }
            return answers.today().meetsGoal() ? Main.DONE : Main.FOUND;
        } catch (IOException e) {
            err.println("kitemux: the answers cannot be written: " + e.getMessage());
            return Main.UNUSABLE;
        } finally {
            pool.shutdownNow();
            out.flush();
        }
    }

    private static List<RunResult> play(ExecutorService pool, Fleet fleet, List<Long> seeds) {
        List<Future<RunResult>> runs = seeds.stream()
                .map(seed -> pool.submit(() -> Emulation.run(fleet, seed)))
                .toList();
        List<RunResult> results = new ArrayList<>();
        for (Future<RunResult> run : runs) {
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
}
