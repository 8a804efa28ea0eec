package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** The place in which a case runs: its folder, its record, and the processes that it has started. */
final class Lab implements AutoCloseable {
    static final int RULE_HELD = 0;
    static final int RULE_BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** Longest time from a start to readiness after which a case gives up; the pages allow 30 s. */
    static final long READY_TIMEOUT_MS = 30_000;

    /** Time after which a case is given up, whatever it waits for; a run may take 120 s. */
    private static final long LONGEST_RUN_MS = 110_000;

    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 32_000;
    private static final int MOST_PORTS_TRIED = 100;

    private final Path root;
    private final Path temporary;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();

    /** The case's work; it returns one of the exit codes. */
    interface Play {
        int run(Lab lab) throws Exception;
    }

    private Lab(Path caseFolder) throws IOException {
        root = Path.of("").toAbsolutePath();
        temporary = Files.createTempDirectory("review-2-");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
    }

    /** Runs a case whose folder is the first argument, and exits with its code. */
    static void main(String[] args, Play play) throws Exception {
        int code = COULD_NOT_RUN;
        try (Lab lab = new Lab(Path.of(args[0]))) {
            Thread ending = new Thread(lab::endProcesses);
            Runtime.getRuntime().addShutdownHook(ending);
            daemon(lab::endAfterLongestRun);
            try {
                code = play.run(lab);
            } catch (Exception e) {
                lab.note("the case could not run: " + e);
                e.printStackTrace();
            }
            lab.note("exit code " + code);
        }
        // Threads of the stand-ins would keep the process alive.
        System.exit(code);
    }

    private void endAfterLongestRun() {
        try {
            Thread.sleep(LONGEST_RUN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        note("the case is given up after " + LONGEST_RUN_MS + " ms");
        System.exit(COULD_NOT_RUN);
    }

    /** Returns whether the disruption is to happen. */
    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Returns the time since the case began, in milliseconds. */
    long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Adds a line to the record. */
    synchronized void note(String line) {
        record.println(String.format("%8d ms  %s", nowMs(), line));
    }

    Path folder(String name) throws IOException {
        return Files.createDirectories(temporary.resolve(name));
    }

    /**
     * Returns a loopback address with a port that was free a moment ago, below those that the system gives to the near
     * side of connections: one of them could take it before the program has it.
     */
    static String freeAddress() throws IOException {
        for (int i = 0; i < MOST_PORTS_TRIED; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return "127.0.0.1:" + probe.getLocalPort();
            } catch (BindException e) {
                // The port is in use; the next one may be free.
            }
        }
        throw new IOException("no free port was found");
    }

    /** Returns a command of the deploy file. */
    private String deployCommand(String name) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(name + " = \"")) {
                return line.substring(name.length() + 4, line.lastIndexOf('"')).replace("\\\"", "\"");
            }
        }
        throw new IOException("the deploy file has no command " + name);
    }

    /** Starts a real node with the command `run` of the deploy file. */
    Process startNode(String name, Map<String, String> environment) throws IOException {
        return start(name, environment, "/bin/sh", "-c", deployCommand("run"));
    }

    /** Starts a process from the project's root; its lines go to the record. */
    Process start(String name, Map<String, String> environment, String... command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true);
        builder.environment().keySet().removeIf(key -> key.startsWith("PROXY_") || key.equals("KITEMUX_SETTINGS"));
        builder.environment().putAll(environment);
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        note(name + " is started, process " + process.pid());
        daemon(() -> copyLines(name, process));
        return process;
    }

    private void copyLines(String name, Process process) {
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                note(name + " says: " + line);
            }
            note(name + " has ended with exit code " + process.waitFor());
        } catch (IOException | InterruptedException e) {
            note(name + ": its lines cannot be read: " + e);
        }
    }

    /** Sends a signal to a process that this case has started. */
    void signal(Process process, String signal) throws IOException, InterruptedException {
        note("SIG" + signal + " to process " + process.pid());
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void endProcesses() {
        List<Process> started;
        synchronized (processes) {
            started = new ArrayList<>(processes);
        }
        started.forEach(Process::destroyForcibly);
        for (Process process : started) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        record.flush();
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
