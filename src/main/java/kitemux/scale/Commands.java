package kitemux.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import kitemux.standin.BuildCommand;

/** How processes of a run are started. */
public interface Commands {
    /** A real node, as it is deployed. */
    ProcessBuilder node() throws IOException;

    /**
     * One of so many processes of hollow nodes, which read and write as {@link Hollow} says.
     *
     * @throws IOException if it cannot be started
     */
    ProcessBuilder hollow(int processes) throws IOException;

    /** Those of a build, as its own deployment says but for the memory of many nodes in one process. */
    static Commands of(Path jar) {
        return new Commands() {
            @Override
            public ProcessBuilder node() throws IOException {
                return BuildCommand.create(List.of(), jar, "node");
            }

            @Override
            public ProcessBuilder hollow(int processes) throws IOException {
                ProcessBuilder builder = BuildCommand.create(List.of(), jar, "scale", "hollow");
                List<String> command = new ArrayList<>(builder.command());
                // Flags that come later hold.
                command.addAll(command.indexOf("-jar"), roomy(processes));
                return builder.command(command);
            }
        };
    }

    /** Flags of a process of hollow nodes: together they hold under half of a machine of 24 GB. */
    static List<String> roomy(int processes) {
        return List.of(
                "-Xmx" + Math.min(1_024, 9_000 / processes) + "m",
                "-XX:MaxDirectMemorySize=64m",
                "-XX:ReservedCodeCacheSize=48m",
                "-XX:MaxMetaspaceSize=64m");
    }
}
