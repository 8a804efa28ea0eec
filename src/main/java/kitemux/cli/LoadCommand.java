package kitemux.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiConsumer;
import kitemux.load.CaptureFile;
import kitemux.load.LoadSummary;
import kitemux.load.ServerSpeedEstimator;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What captured load says. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = {
            "Tells what captured load says: what was wanted, what came of it, and how long servers took.",
            "Exit code 0: done; 2: the call or a file cannot be used."
        })
final class LoadCommand {
    private static final double MOST_BIN_S = 86_400;

    @Spec
    private CommandSpec spec;

    @Command(name = "summary", mixinStandardHelpOptions = true, description = "Adds up the files of one or more nodes.")
    int summary(
            @Parameters(paramLabel = "FILE", arity = "1..*") List<Path> files,
            @Option(
                            names = "--step",
                            paramLabel = "SECONDS",
                            defaultValue = "1",
                            description = "width of the steps in which rates are told; 1")
                    double step,
            @Option(
                            names = "--shift",
                            paramLabel = "NODE=SECONDS",
                            description = "added to a node's times, where its clock is off")
                    Map<String, Double> shift,
            @Option(names = "--fleet", description = "as the blocks of a fleet's description, for plan")
                    boolean fleet) {
        PrintWriter out = spec.commandLine().getOut();
        List<String> faults = new ArrayList<>();
        if (!(step > 0 && step <= MOST_BIN_S)) {
            faults.add("--step is not above 0 and up to " + (long) MOST_BIN_S);
        }
        LoadSummary all = summary(files, step, shift, faults);
        if (!faults.isEmpty()) {
            return unusable(faults);
        }
        if (fleet) {
            description(all, out);
        } else {
            text(all, out);
        }
        out.flush();
        PrintWriter err = spec.commandLine().getErr();
        all.warnings().forEach(remark -> err.println("kitemux: " + remark));
        err.flush();
        return Main.DONE;
    }

    @Command(
            name = "servers",
            mixinStandardHelpOptions = true,
            description = "How quick servers are against one another, by their answers.")
    int servers(
            @Parameters(paramLabel = "FILE", arity = "1..*") List<Path> files,
            @Option(
                            names = "--shift",
                            paramLabel = "NODE=SECONDS",
                            description = "added to a node's times, where its clock is off")
                    Map<String, Double> shift) {
        return tell(
                files,
                shift,
                (speeds, out) -> speeds.estimateSpeeds()
                        .forEach(of -> line(
                                out,
                                "%s: speed %.2f (%.2f to %.2f), %d answers",
                                of.server(),
                                of.speed(),
                                of.low(),
                                of.high(),
                                of.sampleCount())));
    }

    @Command(
            name = "work",
            mixinStandardHelpOptions = true,
            description = "How much work requests of each class are, on a server of mean speed.")
    int work(
            @Parameters(paramLabel = "FILE", arity = "1..*") List<Path> files,
            @Option(
                            names = "--shift",
                            paramLabel = "NODE=SECONDS",
                            description = "added to a node's times, where its clock is off")
                    Map<String, Double> shift) {
        return tell(
                files,
                shift,
                (speeds, out) -> speeds.estimateWork()
                        .forEach(of -> line(
                                out,
                                "%s: work %.2f ms (%.2f to %.2f), cv %.2f, %d answers",
                                of.className(),
                                of.meanUs() / 1e3,
                                of.lowUs() / 1e3,
                                of.highUs() / 1e3,
                                of.cv(),
                                of.sampleCount())));
    }

    private int tell(List<Path> files, Map<String, Double> shift, BiConsumer<ServerSpeedEstimator, PrintWriter> what) {
        List<String> faults = new ArrayList<>();
        ServerSpeedEstimator speeds = speeds(files, shift, faults);
        if (!faults.isEmpty()) {
            return unusable(faults);
        }
        PrintWriter out = spec.commandLine().getOut();
        what.accept(speeds, out);
        out.flush();
        return Main.DONE;
    }

    private int unusable(List<String> faults) {
        PrintWriter err = spec.commandLine().getErr();
        faults.forEach(fault -> err.println("kitemux: " + fault));
        err.flush();
        return Main.UNUSABLE;
    }

    /**
     * What files tell of servers and work.
     *
     * @param faults one line is added for each file that cannot be read
     */
    static ServerSpeedEstimator speeds(List<Path> files, Map<String, Double> shiftS, List<String> faults) {
        ServerSpeedEstimator speeds = new ServerSpeedEstimator(us(shiftS));
        for (Path file : files) {
            try {
                speeds.add(CaptureFile.read(file));
            } catch (IOException e) {
                faults.add(String.valueOf(e.getMessage()));
            }
        }
        return speeds;
    }

    /**
     * Files added up.
     *
     * @param faults one line is added for each file that cannot be read
     */
    static LoadSummary summary(List<Path> files, double stepS, Map<String, Double> shiftS, List<String> faults) {
        LoadSummary all = new LoadSummary(Math.max(1, (long) (stepS * 1e6)), us(shiftS));
        for (Path file : files) {
            try {
                all.add(CaptureFile.read(file));
            } catch (IOException e) {
                faults.add(String.valueOf(e.getMessage()));
            }
        }
        return all;
    }

    private static Map<String, Long> us(Map<String, Double> shiftS) {
        Map<String, Long> shiftUs = new LinkedHashMap<>();
        if (shiftS != null) {
            shiftS.forEach((node, seconds) -> shiftUs.put(node, (long) (seconds * 1e6)));
        }
        return shiftUs;
    }

    private static void line(PrintWriter out, String format, Object... of) {
        out.println(String.format(Locale.ROOT, format, of));
    }

    private static void text(LoadSummary all, PrintWriter out) {
        line(
                out,
                "%d wanted in %.1f s, %.1f a second, by %d nodes; burstiness %.2f",
                all.firstTries(),
                all.durationS(),
                all.durationS() == 0 ? 0 : all.firstTries() / all.durationS(),
                all.nodes().size(),
                all.burstiness());
        all.classes()
                .forEach((name, of) -> line(
                        out,
                        "%s: %d wanted, %d repeats; %d served, %d refused, %d failed,"
                                + " %d left; %d sent; a server's answer p50 %.1f ms, p99 %.1f ms; a client's p50 %.1f ms,"
                                + " p99 %.1f ms",
                        name,
                        of.firstTries(),
                        of.retries(),
                        of.served(),
                        of.refused(),
                        of.failed(),
                        of.abandoned(),
                        of.attempts(),
                        of.serverResponseTimeUs(50) / 1e3,
                        of.serverResponseTimeUs(99) / 1e3,
                        of.clientResponseTimeUs(50) / 1e3,
                        of.clientResponseTimeUs(99) / 1e3));
        all.firstTriesByTenant()
                .forEach((name, wanted) -> line(
                        out, "%s: %.3f of what was wanted", name, (double) wanted / Math.max(1, all.firstTries())));
        all.steps()
                .forEach(step -> line(
                        out,
                        "%8.1f s  %8.1f wanted  %8.1f repeats a second",
                        step.startS(),
                        step.firstTriesPerS(),
                        step.retriesPerS()));
    }

    /** What of a description a capture tells; the rest, above all the work of a request, it does not. */
    private static void description(LoadSummary all, PrintWriter out) {
        double rate = all.durationS() == 0 ? 0 : all.firstTries() / all.durationS();
        all.classes()
                .forEach((name, of) -> line(
                        out,
                        "# class \"%s\": share = %.4f",
                        name,
                        (double) of.firstTries() / Math.max(1, all.firstTries())));
        all.firstTriesByTenant()
                .forEach((name, wanted) -> line(
                        out,
                        "# tenant \"%s\": usage = %.4f of what was wanted",
                        name,
                        (double) wanted / Math.max(1, all.firstTries())));
        line(out, "load {%n  rate   = %.2f%n  length = \"%ds\"", rate, (long) Math.ceil(all.durationS()));
        for (LoadSummary.Step step : all.steps()) {
            line(
                    out,
                    "  point {%n    at    = \"%dms\"%n    times = %.4f%n  }",
                    Math.round(step.startS() * 1e3),
                    rate == 0 ? 0 : step.firstTriesPerS() / rate);
        }
        line(out, "}");
    }
}
