package kitemux.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.Callable;
import kitemux.app.AppParser;
import kitemux.sidecar.Sidecar;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** A node beside an application, by its description alone: no platform, no JSON written by hand. */
@Command(
        name = "sidecar",
        mixinStandardHelpOptions = true,
        description = {
            "Checks an application's description and serves by it until SIGTERM. Servers that change in it are",
            "followed; what is broken or cannot change while it runs is told, and what held before goes on.",
            "Exit code 1: the description has faults; 2: the call or a file cannot be used."
        })
final class SidecarCommand implements Callable<Integer> {
    private static final long MOST_LOOK_MS = 60_000;

    @Option(names = "--app", paramLabel = "FILE", required = true, description = "the description, in HCL")
    private Path file;

    @Option(
            names = "--look",
            paramLabel = "MS",
            defaultValue = "500",
            description = "between two looks at the description, 10 to 60,000; 500")
    private long lookMs;

    @Option(
            names = "--seed",
            paramLabel = "HEX",
            defaultValue = "",
            description = "for random numbers, 1 to 16 hex digits; drawn by default")
    private String seed;

    @Parameters(
            paramLabel = "COMMAND",
            arity = "0..*",
            description = "behind --: the application, started once clients can connect; the sidecar " + "ends with it")
    private List<String> command = List.of();

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (lookMs < 10 || lookMs > MOST_LOOK_MS) {
            System.err.println("kitemux: --look is not from 10 to " + MOST_LOOK_MS);
            return Main.UNUSABLE;
        }
        String drawn = seed.isEmpty() ? Long.toHexString(new SecureRandom().nextLong() | 1) : seed;
        if (!drawn.matches("[0-9a-fA-F]{1,16}")) {
            System.err.println("kitemux: --seed is not 1 to 16 hex digits");
            return Main.UNUSABLE;
        }
        String text = text();
        if (text == null) {
            System.err.println("kitemux: " + file + " cannot be read, or is not UTF-8");
            return Main.UNUSABLE;
        }
        AppParser.Result reading = AppParser.parse(text);
        if (!ConfigCommand.tell(file, reading, System.err::println)) {
            return Main.FOUND;
        }
        int code = new Sidecar(reading.app(), text, new Sidecar.Options(file, lookMs, drawn, command)).run();
        // The node drains in a hook of the process's end.
        System.exit(code);
        return code;
    }

    /** The description, or null where it cannot be read. */
    private String text() {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            return null;
        }
    }
}
