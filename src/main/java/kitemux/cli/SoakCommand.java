package kitemux.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import kitemux.soak.Soak;
import kitemux.standin.BuildCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Plays upgrades, restarts and kills of a node's processes, and judges what clients and servers saw. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = {
            "Plays the lives of a node's processes on loopback and judges that no request is lost, none is run twice,",
            "no deadline is told too long and none is sent on after its client has left.",
            "Exit code 0: nothing found; 1: something was, or the player was late; 2: the call cannot be used."
        })
final class SoakCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--seed", defaultValue = "1", description = "first seed; default ${DEFAULT-VALUE}")
    private long seed;

    @Option(names = "--seeds", defaultValue = "1", description = "how many seeds; default ${DEFAULT-VALUE}")
    private int seeds;

    @Option(
            names = "--changes",
            defaultValue = "3",
            description = "changes of processes in each seed; default ${DEFAULT-VALUE}")
    private int changes;

    @Option(names = "--upgrades", description = "upgrades alone; all kinds where it is not given")
    private boolean upgrades;

    @Option(
            names = "--undisrupted",
            description =
                    "no outages of discovery, drains by hand and clients that stop; seeds play as before these came")
    private boolean undisrupted;

    @Option(names = "--jar", description = "the build whose node is played; this one where it is not given")
    private Path jar;

    @Option(
            names = "--processor",
            description = "number of the one processor that the node's processes may use, as taskset counts them")
    private Integer processor;

    @Option(
            names = "--no-trace",
            description =
                    "the node of that build knows no trace: a request counts as read " + "only where a server had it")
    private boolean untraced;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        boolean clean = true;
        for (long one = seed; one < seed + seeds; one++) {
            Path folder = Files.createTempDirectory("kitemux-soak");
            Soak.Result result = Soak.run(
                    () -> BuildCommand.create(prefix(), played(), "node"),
                    !untraced,
                    one,
                    upgrades,
                    changes,
                    !undisrupted,
                    folder);
            print(out, result);
            clean &= result.violations().isEmpty() && result.isOnSchedule();
        }
        return clean ? Main.DONE : Main.FOUND;
    }

    private void print(PrintWriter out, Soak.Result result) {
        out.printf(
                "seed %d: deadline %d ms%s, %d requests, %d stops, %d SIGKILLs after SIGTERM, %d turned back unheard, "
                        + "%d late as the node had no processor, player late by %d ms%s, %d findings%n",
                result.seed(),
                result.deadlineMs(),
                result.isShortOfTcpMemory() ? ", short of memory for TCP" : "",
                result.requests(),
                result.stops(),
                result.sigkills(),
                result.unreadRequests(),
                result.heldUpRequests(),
                result.maxLatenessMs(),
                result.isOnSchedule() ? "" : " (too late to rely on)",
                result.violations().stream()
                        .filter(line -> !line.startsWith(" "))
                        .count());
        if (!result.violations().isEmpty()) {
            out.printf(
                    "  kitemux soak --seed %d --changes %d%s%s%n",
                    result.seed(), changes, upgrades ? " --upgrades" : "", undisrupted ? " --undisrupted" : "");
            result.violations().forEach(line -> out.println("  " + line));
        }
        out.flush();
    }

    private List<String> prefix() {
        return processor == null ? List.of() : List.of("taskset", "-c", Integer.toString(processor));
    }

    private Path played() {
        if (jar != null) {
            return jar;
        }
        try {
            return Path.of(SoakCommand.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }
}
