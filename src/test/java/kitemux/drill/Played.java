package kitemux.drill;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import kitemux.cli.Main;

/** Drills with nodes of the classes under test; also a program that plays one, to be killed. */
final class Played {
    private Played() {}

    static ProcessBuilder node() throws IOException {
        return new ProcessBuilder(
                ProcessHandle.current().info().command().orElseThrow(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "node");
    }

    static Scenario read(String text) {
        List<String> faults = new ArrayList<>();
        Scenario scenario = ScenarioFile.read(
                "d.hcl", text, null, path -> Files.readString(Path.of("examples", "drill", path)), faults);
        if (!faults.isEmpty()) {
            throw new IllegalStateException(faults.toString());
        }
        return scenario;
    }

    /** Plays the example of a bad day, and writes its time-line to the file that is named. */
    public static void main(String[] args) throws Exception {
        Drill.play(read(Files.readString(Path.of("examples", "drill", "bad-day.hcl"))), Played::node, Path.of(args[0]));
    }
}
