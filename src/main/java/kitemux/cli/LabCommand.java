package kitemux.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicInteger;
import kitemux.lab.Experiment;
import kitemux.lab.ExperimentFile;
import kitemux.lab.ExperimentRunner;
import kitemux.lab.PredictionReport;
import kitemux.lab.ResultRow;
import kitemux.lab.ResultsComparison;
import kitemux.lab.ResultsFolder;
import kitemux.lab.ResultsPage;
import kitemux.standin.BuildCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Experiments: predicted by the emulator, played over sockets, kept as tables and charts. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description = {
            "Plays experiments with described fleets, emulated and with real nodes over loopback, and keeps results.",
            "Exit code 0: done; 1: a rule was broken in a run; 2: the call, a description or a folder cannot be "
                    + "used."
        })
final class LabCommand {
    private static final int MOST_AT_ONCE = 128;
    private static final String EXPERIMENT = "experiment.hcl";
    private static final String FLEET = "fleet.hcl";

    @Spec
    private CommandSpec spec;

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private PrintWriter err() {
        return spec.commandLine().getErr();
    }

    private int unusable(List<String> faults) {
        faults.forEach(fault -> err().println("kitemux: " + fault));
        err().flush();
        return Main.UNUSABLE;
    }

    /** Does something with files; what cannot be read or written is told in one line. */
    private int orUnusable(Callable<Integer> what) throws Exception {
        try {
            return what.call();
        } catch (IOException e) {
            return unusable(List.of(String.valueOf(e.getMessage())));
        } finally {
            out().flush();
        }
    }

    private static Path ownJar() {
        try {
            return Path.of(LabCommand.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Plays what a results folder lacks of an experiment; may be stopped and resumed.")
    int run(
            @Parameters(paramLabel = "FILE", description = "the experiment, in HCL") Path file,
            @Option(names = "--to", paramLabel = "FOLDER", required = true, description = "where results are kept")
                    Path to,
            @Option(names = "--jar", paramLabel = "JAR", description = "the build whose nodes serve; this one")
                    Path jar,
            @Option(
                            names = "--jobs",
                            paramLabel = "N",
                            defaultValue = "0",
                            description = "emulated runs at once; one for each core")
                    int jobs,
            @Option(
                            names = "--at-once",
                            paramLabel = "N",
                            defaultValue = "1",
                            description = "runs over sockets at once; 1, as they share the machine")
                    int atOnce)
            throws Exception {
        List<String> faults = new ArrayList<>();
        if (jobs < 0 || jobs > MOST_AT_ONCE) {
            faults.add("--jobs is not from 1 to " + MOST_AT_ONCE);
        }
        if (atOnce < 1 || atOnce > MOST_AT_ONCE) {
            faults.add("--at-once is not from 1 to " + MOST_AT_ONCE);
        }
        Path build = jar == null ? ownJar() : jar;
        if (!Files.isRegularFile(build)) {
            faults.add("--jar: " + build + " is no file");
        }
        return orUnusable(() -> {
            String text = Files.readString(file);
            Map<String, String> kept = new LinkedHashMap<>();
            kept.put(EXPERIMENT, text);
            Experiment experiment = ExperimentFile.read(
                    file.toString(),
                    text,
                    path -> {
                        String fleet = Files.readString(file.resolveSibling(path));
                        kept.put(FLEET, fleet);
                        return fleet;
                    },
                    faults);
            if (!faults.isEmpty()) {
                return unusable(faults);
            }
            return play(
                    experiment,
                    ResultsFolder.openOrCreate(to, kept),
                    new ExperimentRunner(
                            () -> BuildCommand.create(List.of(), build, "node"),
                            jobs == 0 ? Runtime.getRuntime().availableProcessors() : jobs,
                            atOnce));
        });
    }

    private int play(Experiment experiment, ResultsFolder folder, ExperimentRunner lab)
            throws IOException, InterruptedException {
        int all = experiment.runs().size();
        AtomicInteger over = new AtomicInteger(folder.rows().size());
        lab.runMissing(experiment, folder, row -> {
            synchronized (this) {
                err().printf(
                                "%d of %d: %s, %s, seed %d: %.3f in time%n",
                                over.incrementAndGet(),
                                all,
                                row.variant(),
                                row.environment(),
                                row.seed(),
                                row.inTimeRatio());
                err().flush();
            }
        });
        return tell(experiment, folder);
    }

    private int tell(Experiment experiment, ResultsFolder folder) throws IOException {
        List<ResultRow> rows = folder.rows();
        PredictionReport.table(experiment, rows).forEach(out()::println);
        out().flush();
        return rows.stream().anyMatch(row -> row.violations() > 0) ? Main.FOUND : Main.DONE;
    }

    private static Experiment kept(ResultsFolder folder) throws IOException {
        List<String> faults = new ArrayList<>();
        Experiment experiment =
                ExperimentFile.read(EXPERIMENT, folder.readText(EXPERIMENT), path -> folder.readText(FLEET), faults);
        if (!faults.isEmpty()) {
            throw new IOException("the experiment that was kept cannot be read: " + faults.get(0));
        }
        return experiment;
    }

    @Command(
            name = "table",
            mixinStandardHelpOptions = true,
            description = "What was predicted and what happened, by scenario.")
    int table(@Parameters(paramLabel = "FOLDER") Path from) throws Exception {
        return orUnusable(() -> {
            ResultsFolder folder = ResultsFolder.open(from);
            return tell(kept(folder), folder);
        });
    }

    @Command(
            name = "chart",
            mixinStandardHelpOptions = true,
            description = "Writes results.html beside the results: one page that opens without a network.")
    int chart(@Parameters(paramLabel = "FOLDER") Path from) throws Exception {
        return orUnusable(() -> {
            ResultsFolder folder = ResultsFolder.open(from);
            Path file = folder.writeText(
                    "results.html",
                    ResultsPage.render(
                            from.toAbsolutePath().normalize().getFileName().toString(), kept(folder), folder.rows()));
            out().println(file);
            return Main.DONE;
        });
    }

    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description = "What a second folder's runs gave against a first one's, pair by pair.")
    int compare(
            @Parameters(paramLabel = "FIRST", index = "0") Path first,
            @Parameters(paramLabel = "SECOND", index = "1") Path second)
            throws Exception {
        return orUnusable(() -> {
            List<ResultsComparison.Difference> differences = ResultsComparison.compare(
                    ResultsFolder.open(first).rows(), ResultsFolder.open(second).rows());
            if (differences.isEmpty()) {
                throw new IOException(first + " and " + second + " have no run in common");
            }
            ResultsComparison.table(differences).forEach(out()::println);
            return Main.DONE;
        });
    }
}
