package kitemux.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import kitemux.lab.ProcessGuard;

/** One process of the node under test, started behind a guard process so that it does not outlive the run. */
final class SoakNode implements AutoCloseable {
    /** SIGKILL comes at the earliest this long after SIGTERM and the longest deadline. */
    static final long KILL_AFTER_DEADLINE_MS = 700;
    /** Upper limit of the deadline that delays SIGKILL. */
    static final long MAX_DEADLINE_MS = 3_000;

    private static final long START_TIMEOUT_S = 30;

    private final Process guard;
    private final int operatorPort;
    private final CountDownLatch exited = new CountDownLatch(1);
    private final Queue<String> outputLines = new ConcurrentLinkedQueue<>();

    private SoakNode(Process guard, int operatorPort) {
        this.guard = guard;
        this.operatorPort = operatorPort;
        Soak.startDaemon("soak node output", this::readOutput);
    }

    /**
     * Starts a process and does not wait for it.
     *
     * @param launcher the command of a node
     * @param folder shared by all processes of the node
     * @param clientPort on which the node serves clients
     * @param operatorPort on which the node serves operators
     * @param discoveryPort on which discovery listens, if it does
     * @param deadlineMs longest deadline of a request, in milliseconds
     * @param servers servers in the node's list
     * @param traced whether the node writes a trace to {@code traces} in the folder
     * @throws IOException if a file cannot be written or the process cannot be started
     */
    static SoakNode start(
            ProcessBuilder launcher,
            Path folder,
            int clientPort,
            int operatorPort,
            int discoveryPort,
            long deadlineMs,
            List<SoakServer> servers,
            boolean traced)
            throws IOException {
        Path config = Files.writeString(
                folder.resolve("config-" + operatorPort + ".json"),
                config(clientPort, operatorPort, discoveryPort, deadlineMs, servers));
        launcher.environment().put("PROXY_CONFIG", config.toString());
        launcher.environment().put("TMPDIR", folder.toString());
        if (traced) {
            Path settings = Files.writeString(
                    folder.resolve("settings.json"),
                    "{\"trace\":{\"folder\":\"%s\"}}".formatted(folder.resolve("traces")));
            launcher.environment().put("KITEMUX_SETTINGS", settings.toString());
        }
        return new SoakNode(
                ProcessGuard.wrap(launcher).redirectErrorStream(true).start(), operatorPort);
    }

    private static String config(
            int clientPort, int operatorPort, int discoveryPort, long deadlineMs, List<SoakServer> servers) {
        String targets = servers.stream().map(server -> server.entry(false)).collect(Collectors.joining(","));
        String classes = IntStream.range(0, Request.CLASSES.size())
                .mapToObj(i -> ("{\"name\":\"%s\","
                                + "\"onTimeUs\":%d,\"giveUpUs\":%d,\"repeat\":\"%s\",\"group\":\"all\",\"windowUs\":%d}")
                        .formatted(
                                Request.CLASSES.get(i),
                                deadlineMs * 500,
                                deadlineMs * 1_000,
                                Request.RETRY_SAFETY.get(i),
                                Request.DEDUP_WINDOW_US))
                .collect(Collectors.joining(","));
        return """
                {"listen":"127.0.0.1:%d","mgmt":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"1",
                 "limits":{"memory_mb":128,"sockets":1024},"known":{"rev":1,"all":true,"targets":[%s]},
                 "settings":{"membershipMode":"on_request","limits":{"attemptsCap":4,"cancelling":true,
                  "parallelTries":true},"classes":[%s]}}
                """.formatted(clientPort, operatorPort, discoveryPort, targets, classes);
    }

    private void readOutput() {
        try (BufferedReader output = guard.inputReader()) {
            output.lines().forEach(outputLines::add);
        } catch (IOException | UncheckedIOException e) {
            outputLines.add("reading the output failed: " + e);
        }
        exited.countDown();
    }

    /**
     * Waits until the node reports to operators that it is ready for clients.
     *
     * @throws IOException if it ends or is not ready within 30 s
     */
    void awaitReady() throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_S);
        while (!isReady()) {
            if (System.nanoTime() > deadlineNanos || exited.await(10, TimeUnit.MILLISECONDS)) {
                throw new IOException("a node did not start: " + outputLines);
            }
        }
    }

    private boolean isReady() {
        try {
            return call("GET", "/ops/readiness") == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Makes an operators' call and returns the status of its answer. */
    int call(String method, String path) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), operatorPort)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write((method + " " + path + " HTTP/1.1\r\nHost: ops\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            return HttpMessage.read(socket.getInputStream()).status();
        }
    }

    /** Sends a signal by its name, such as {@code TERM}; has no effect if the process has ended. */
    void sendSignal(String name) throws IOException, InterruptedException {
        ProcessHandle node = guard.children().findFirst().orElse(null);
        if (node != null) {
            new ProcessBuilder("kill", "-" + name, Long.toString(node.pid()))
                    .redirectErrorStream(true)
                    .start()
                    .waitFor();
        }
    }

    /** Holds the process up for this time, in milliseconds. */
    void holdUp(long ms) throws IOException, InterruptedException {
        sendSignal("STOP");
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } finally {
            sendSignal("CONT");
        }
    }

    /** Returns what the process has written so far. */
    String output() {
        return outputLines.toString();
    }

    /** Waits for the process to end; returns false if it is still running after the timeout. */
    boolean awaitExit(long timeoutMs) throws InterruptedException {
        return exited.await(Math.max(0, timeoutMs), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        guard.children().forEach(ProcessHandle::destroyForcibly);
        guard.destroyForcibly();
        guard.onExit().join();
    }
}
