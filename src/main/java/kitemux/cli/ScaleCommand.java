package kitemux.cli;

import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import kitemux.scale.CapacityPage;
import kitemux.scale.Commands;
import kitemux.scale.Hollow;
import kitemux.scale.Plan;
import kitemux.scale.PlanFile;
import kitemux.scale.ScaleRun;
import kitemux.scale.Tables;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What nodes cost at the size to plan for: measured, kept, and told as tables. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = {
            "Measures what control costs nodes, by servers, nodes, tenants and changes, and keeps results.",
            "Exit code 0: done; 1: the run itself was late, or a page differs from results; 2: the call, a "
                    + "description or a folder cannot be used."
        })
final class ScaleCommand {
    @Spec
    private CommandSpec spec;

    private final Commands own;

    /** Its processes are of this build unless another is named. */
    ScaleCommand() {
        this(null);
    }

    ScaleCommand(Commands own) {
        this.own = own;
    }

    private static Path ownJar() {
        try {
            return Path.of(ScaleCommand.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    private void say(String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
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
        }
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Measures what a description names; keeps a file of results for each stage.")
    int run(
            @Parameters(paramLabel = "FILE", description = "what to measure, in HCL") Path file,
            @Option(names = "--to", paramLabel = "FOLDER", required = true, description = "where results are kept")
                    Path to,
            @Option(
                            names = "--only",
                            paramLabel = "STAGE",
                            split = ",",
                            description = "stages to run; all that are described")
                    List<String> only,
            @Option(
                            names = "--commit",
                            paramLabel = "NAME",
                            defaultValue = "not told",
                            description = "of the program that is measured, as results tell it")
                    String commit,
            @Option(names = "--jar", paramLabel = "JAR", description = "the build that is measured; this one") Path jar)
            throws Exception {
        return orUnusable(() -> {
            List<String> faults = new ArrayList<>();
            Set<String> stages = only == null ? Set.of() : new TreeSet<>(only);
            stages.stream()
                    .filter(stage -> !Tables.names().contains(stage))
                    .forEach(stage -> faults.add("--only: there is no stage " + stage));
            if (jar != null && !Files.isRegularFile(jar)) {
                faults.add("--jar: " + jar + " is no file");
            }
            Plan plan = PlanFile.read(file.toString(), Files.readString(file), faults);
            if (!faults.isEmpty()) {
                return unusable(faults);
            }
            Commands commands = own != null ? own : Commands.of(jar == null ? ownJar() : jar);
            return new ScaleRun(plan, commands, to, commit, stages, this::say).run() ? Main.DONE : Main.FOUND;
        });
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Tells all faults of a description, and measures nothing.")
    int check(@Parameters(paramLabel = "FILE") Path file) throws Exception {
        return orUnusable(() -> {
            List<String> faults = new ArrayList<>();
            PlanFile.read(file.toString(), Files.readString(file), faults);
            if (!faults.isEmpty()) {
                return unusable(faults);
            }
            say(file + ": no fault");
            return Main.DONE;
        });
    }

    @Command(
            name = "table",
            mixinStandardHelpOptions = true,
            description = "Prints a table from the results that a folder keeps.")
    int table(@Parameters(paramLabel = "NAME") String name, @Parameters(paramLabel = "FOLDER") Path folder)
            throws Exception {
        return orUnusable(() -> {
            String table = Tables.markdown(name, folder);
            if (table == null) {
                return unusable(List.of(
                        Tables.names().contains(name)
                                ? folder + " holds no results for " + name
                                : "there is no table " + name + "; there are " + String.join(", ", Tables.names())));
            }
            spec.commandLine().getOut().print(table);
            spec.commandLine().getOut().flush();
            return Main.DONE;
        });
    }

    @Command(
            name = "page",
            mixinStandardHelpOptions = true,
            description = "Holds a page's tables and figures against the results that a folder keeps.")
    int page(
            @Parameters(paramLabel = "PAGE") Path page,
            @Parameters(paramLabel = "FOLDER") Path folder,
            @Option(names = "--write", description = "first writes them anew in the page") boolean write)
            throws Exception {
        return orUnusable(() -> {
            if (write) {
                Files.writeString(page, CapacityPage.filled(Files.readString(page), folder));
            }
            List<String> faults = CapacityPage.faults(Files.readString(page), folder);
            faults.forEach(fault -> say(page + ": " + fault));
            return faults.isEmpty() ? Main.DONE : Main.FOUND;
        });
    }

    @Command(name = "hollow", hidden = true, description = "Runs hollow nodes as standard input says.")
    int hollow() throws Exception {
        return orUnusable(() -> {
            Hollow.run(new InputStreamReader(System.in, StandardCharsets.UTF_8), System.out);
            return Main.DONE;
        });
    }
}
