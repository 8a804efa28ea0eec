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
import kitemux.drill.Drill;
import kitemux.drill.DrillPage;
import kitemux.drill.Judge;
import kitemux.drill.Scenario;
import kitemux.drill.ScenarioFile;
import kitemux.drill.Verdict;
import kitemux.lab.LoopbackRun;
import kitemux.standin.BuildCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Several processes of real nodes, faults between them, and judges who were not there. */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description = {
            "Plays several node processes with faults between them and their servers, and judges what was seen.",
            "Exit code 0: no rule broken; 1: one was, or the player was too late to tell; 2: the call or a file "
                    + "cannot be used."
        })
final class DrillCommand {
    private static final String SCENARIO = "drill.hcl";
    private static final String FLEET = "fleet.hcl";
    private static final String TIMELINE = "timeline.jsonl";
    private static final String VERDICT = "verdict.txt";
    private static final String PAGE = "drill.html";

    @Spec
    private CommandSpec spec;

    private final LoopbackRun.Launcher own;

    /** Its nodes are of this build unless another is named. */
    DrillCommand() {
        this(() -> BuildCommand.create(List.of(), ownJar(), "node"));
    }

    DrillCommand(LoopbackRun.Launcher own) {
        this.own = own;
    }

    private static Path ownJar() {
        try {
            return Path.of(DrillCommand.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private int unusable(List<String> faults) {
        faults.forEach(fault -> spec.commandLine().getErr().println("kitemux: " + fault));
        spec.commandLine().getErr().flush();
        return Main.UNUSABLE;
    }

    private int orUnusable(Callable<Integer> what) throws Exception {
        try {
            return what.call();
        } catch (IOException e) {
            return unusable(List.of(String.valueOf(e.getMessage())));
        } finally {
            out().flush();
        }
    }

    private static Scenario read(Path file, Long seed, Map<String, String> kept, List<String> faults)
            throws IOException {
        String text = Files.readString(file);
        kept.put(SCENARIO, text);
        return ScenarioFile.read(
                file.toString(),
                text,
                seed,
                path -> {
                    String fleet = Files.readString(file.resolveSibling(path));
                    kept.put(FLEET, fleet);
                    return fleet;
                },
                faults);
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Plays and judges a drill; keeps its time-line, a verdict and a page.")
    int run(
            @Parameters(paramLabel = "FILE", description = "the drill, in HCL") Path file,
            @Option(
                            names = "--to",
                            paramLabel = "FOLDER",
                            required = true,
                            description = "where the time-line, the verdict and the page are kept")
                    Path to,
            @Option(names = "--seed", paramLabel = "N", description = "in place of the description's own") Long seed,
            @Option(names = "--jar", paramLabel = "JAR", description = "the build whose nodes serve; this one")
                    Path jar)
            throws Exception {
        return orUnusable(() -> {
            List<String> faults = new ArrayList<>();
            if (jar != null && !Files.isRegularFile(jar)) {
                faults.add("--jar: " + jar + " is no file");
            }
            Map<String, String> kept = new LinkedHashMap<>();
            Scenario scenario = read(file, seed, kept, faults);
            if (!faults.isEmpty()) {
                return unusable(faults);
            }
            Files.createDirectories(to);
            for (Map.Entry<String, String> text : kept.entrySet()) {
                Files.writeString(to.resolve(text.getKey()), text.getValue());
            }
            Drill.play(
                    scenario,
                    jar == null ? own : () -> BuildCommand.create(List.of(), jar, "node"),
                    to.resolve(TIMELINE));
            return judged(to);
        });
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Tells all faults of a drill's description, and plays nothing.")
    int check(@Parameters(paramLabel = "FILE") Path file) throws Exception {
        return orUnusable(() -> {
            List<String> faults = new ArrayList<>();
            Scenario scenario = read(file, null, new LinkedHashMap<>(), faults);
            if (!faults.isEmpty()) {
                return unusable(faults);
            }
            out().println(file + ": " + scenario.fleet().nodes().count() + " nodes, "
                    + scenario.fleet().serverCount()
                    + " servers, " + scenario.faults().size() + " faults, "
                    + scenario.fleet().load().durationUs() / 1_000_000 + " s");
            return Main.DONE;
        });
    }

    @Command(
            name = "judge",
            mixinStandardHelpOptions = true,
            description = "Judges the time-line that a folder keeps once more, and writes its page anew.")
    int judge(@Parameters(paramLabel = "FOLDER") Path folder) throws Exception {
        return orUnusable(() -> judged(folder));
    }

    private int judged(Path folder) throws IOException {
        Verdict verdict = Judge.of(folder.resolve(TIMELINE));
        verdict.lines().forEach(out()::println);
        Files.write(folder.resolve(VERDICT), verdict.lines());
        Files.writeString(
                folder.resolve(PAGE),
                DrillPage.of(
                        folder.toAbsolutePath().normalize().getFileName().toString(),
                        folder.resolve(TIMELINE),
                        verdict));
        return verdict.isKept() ? Main.DONE : Main.FOUND;
    }
}
