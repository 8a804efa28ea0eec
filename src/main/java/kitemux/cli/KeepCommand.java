package kitemux.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import kitemux.keeper.KeeperProcess;
import kitemux.keeper.KeeperSettings;
import kitemux.keeper.KeeperSettingsParser;
import kitemux.node.StderrLog;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** A keeper of configurations: one of the machines that decide and tell which version is in force. */
@Command(
        name = "keep",
        mixinStandardHelpOptions = true,
        description = {
            "Keeps configurations and tells nodes of them.",
            "Exit code 0: done; 1: the folder cannot be written any more; 2: the call, a file or a folder cannot "
                    + "be used."
        })
final class KeepCommand {
    private static final int MOST_NUMBER = 999;

    @Spec
    private CommandSpec spec;

    private int unusable(List<String> faults) {
        faults.forEach(fault -> spec.commandLine().getErr().println("kitemux: " + fault));
        spec.commandLine().getErr().flush();
        return Main.UNUSABLE;
    }

    private void say(String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }

    private static KeeperSettings read(Path file, List<String> faults) {
        try {
            return KeeperSettingsParser.parse(file.toString(), Files.readString(file), faults);
        } catch (IOException e) {
            faults.add(file + " cannot be read, or is not UTF-8: " + e);
            return null;
        }
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Tells all faults of a keeper's settings, and starts nothing.")
    int check(@Parameters(paramLabel = "FILE") Path file) {
        List<String> faults = new ArrayList<>();
        read(file, faults);
        if (!faults.isEmpty()) {
            return unusable(faults);
        }
        say(file + ": no fault");
        return Main.DONE;
    }

    @Command(
            name = "make",
            mixinStandardHelpOptions = true,
            description = {
                "Makes a keeper's folder where there is none, and prints the voter as settings name it.",
                "A folder that is there stays as it is."
            })
    int make(
            @Option(
                            names = "--keeper",
                            paramLabel = "N",
                            required = true,
                            description = "the keeper's number, 0 to 999")
                    int number,
            @Parameters(paramLabel = "FOLDER") Path folder) {
        if (number < 0 || number > MOST_NUMBER) {
            return unusable(List.of("--keeper is not from 0 to " + MOST_NUMBER));
        }
        try {
            say(KeeperProcess.initializeFolder(folder, number, new StderrLog()));
            return Main.DONE;
        } catch (IOException e) {
            return unusable(List.of("FOLDER cannot be used: " + e.getMessage()));
        }
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Runs a keeper until SIGTERM.")
    int run(@Parameters(paramLabel = "FILE", description = "its settings, in HCL") Path file)
            throws InterruptedException {
        List<String> faults = new ArrayList<>();
        KeeperSettings settings = read(file, faults);
        if (!faults.isEmpty()) {
            return unusable(faults);
        }
        try {
            KeeperProcess.start(settings, new StderrLog());
        } catch (IOException e) {
            return unusable(List.of(e.getMessage()));
        }
        // Until SIGTERM.
        Thread.currentThread().join();
        return Main.DONE;
    }
}
