package kitemux.lab;

import java.util.ArrayList;
import java.util.List;

/** Stands before a process so that it does not outlive the one that started it, however that ends. */
public final class ProcessGuard {
    /**
     * The shell holds the end of a pipe, which closes with whoever started it; it must not hold the process's
     * output: that of a process that does not start would never end, and who waits for its word not either.
     */
    private static final String SCRIPT =
            "\"$@\" & process=$!; exec >/dev/null 2>&1; read -r end; " + "kill -9 $process; wait $process";

    private ProcessGuard() {}

    /** The same command behind a guard, whose one child it is. */
    public static ProcessBuilder wrap(ProcessBuilder process) {
        List<String> command = new ArrayList<>(List.of("sh", "-c", SCRIPT, "sh"));
        command.addAll(process.command());
        return process.command(command);
    }
}
