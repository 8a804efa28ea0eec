package kitemux.lab;

import java.util.ArrayList;
import java.util.List;

/**
 * Wraps a process in a shell that kills it as soon as the process that started it has ended, however that happens.
 */
public final class ProcessGuard {
    /**
     * The shell reads a pipe that is closed when its parent process ends. The shell must not keep the output of the
     * guarded process open: otherwise the output of a process that fails to start would never end, and a parent that
     * reads it would wait forever.
     */
    private static final String SCRIPT =
            "\"$@\" & process=$!; exec >/dev/null 2>&1; read -r end; " + "kill -9 $process; wait $process";

    private ProcessGuard() {}

    /**
     * Wraps a command in a guard.
     *
     * @return the builder passed in, with the command changed; the process is the only child of the guard
     */
    public static ProcessBuilder wrap(ProcessBuilder builder) {
        List<String> command = new ArrayList<>(List.of("sh", "-c", SCRIPT, "sh"));
        command.addAll(builder.command());
        return builder.command(command);
    }
}
