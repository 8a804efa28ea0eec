package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import kitemux.cli.Main;

/** A process that runs {@code kitemux node} with a request trace and a management address. */
final class NodeProcess implements AutoCloseable {
    private static final int TIMEOUT_S = 25;
    /** The least memory that a process of a node is given, in megabytes. */
    static final long MEMORY_LIMIT_MB = 128;

    final Process process;
    final Queue<String> lines = new ConcurrentLinkedQueue<>();
    private final InetSocketAddress clients;
    private final InetSocketAddress operators;
    private final CountDownLatch listening = new CountDownLatch(1);
    private final Path traces;

    private NodeProcess(Process process, InetSocketAddress clients, InetSocketAddress operators, Path traces) {
        this.process = process;
        this.clients = clients;
        this.operators = operators;
        this.traces = traces;
        Thread reader = new Thread(this::read, "lines of " + process.pid());
        reader.setDaemon(true);
        reader.start();
    }

    /** Reserves a port for processes that will listen on it later. */
    static SocketChannel reservePort() throws IOException {
        return SocketChannel.open()
                .setOption(StandardSocketOptions.SO_REUSEADDR, true)
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /**
     * Starts a process and returns before it listens.
     *
     * @param folder folder shared by all processes of one node
     * @param deadlineMs the longest deadline of any class, in milliseconds
     * @param servers the initial servers, named s0, s1, ...
     */
    static NodeProcess start(
            Path folder, SocketChannel clientsAt, SocketChannel operatorsAt, long deadlineMs, ScriptedServer... servers)
            throws IOException {
        return start(
                List.of("-XX:TieredStopAtLevel=1"), folder, clientsAt, operatorsAt, deadlineMs, endpoints(servers));
    }

    /**
     * Starts a process with the JVM options of the deploy file, its bounds on memory among them; the longest deadline is
     * 1 s.
     *
     * @param moreOptions further JVM options, which override those of the deploy file
     */
    static NodeProcess startDeployed(Path folder, List<String> moreOptions, ScriptedServer... servers)
            throws IOException {
        return startDeployedAt(folder, moreOptions, endpoints(servers));
    }

    private static String[] endpoints(ScriptedServer... servers) {
        return Stream.of(servers).map(ScriptedServer::endpoint).toArray(String[]::new);
    }

    /** Starts a process as {@link #startDeployed} does, with servers at these addresses. */
    static NodeProcess startDeployedAt(Path folder, List<String> moreOptions, String... endpoints) throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"exec java (.*) -jar ")
                .matcher(Files.readString(Path.of("deploy", "balancer.toml")));
        assertTrue(run.find(), "the deploy file has no line run");
        List<String> options = new ArrayList<>(List.of(run.group(1).split(" ")));
        // The archive belongs to the packaged jar.
        options.removeIf(option -> option.contains("SharedArchiveFile"));
        options.addAll(moreOptions);
        try (SocketChannel clientsAt = reservePort();
                SocketChannel operatorsAt = reservePort()) {
            return start(options, folder, clientsAt, operatorsAt, 1_000, endpoints);
        }
    }

    private static NodeProcess start(
            List<String> options,
            Path folder,
            SocketChannel clientsAt,
            SocketChannel operatorsAt,
            long deadlineMs,
            String... endpoints)
            throws IOException {
        InetSocketAddress clients = (InetSocketAddress) clientsAt.getLocalAddress();
        InetSocketAddress operators = (InetSocketAddress) operatorsAt.getLocalAddress();
        String[] entries = new String[endpoints.length];
        for (int i = 0; i < endpoints.length; i++) {
            entries[i] = "s" + i + "=" + endpoints[i] + "=Ready";
        }
        Path config = Files.writeString(folder.resolve("config-" + operators.getPort() + ".json"), """
                {"listen":"127.0.0.1:%d","mgmt":"127.0.0.1:%d","discovery":"127.0.0.1:9","seed":"1",
                 "limits":{"memory_mb":%d,"sockets":1024},"known":%s,
                 "settings":{"membershipMode":"on_request","limits":{"attemptsCap":2},
                  "classes":[{"name":"page","onTimeUs":%d,"giveUpUs":%d,"repeat":"safe"},
                             {"name":"order","onTimeUs":%d,"giveUpUs":%d,"repeat":"unsafe"}]}}
                """.formatted(
                        clients.getPort(),
                        operators.getPort(),
                        MEMORY_LIMIT_MB,
                        Site.list(1, true, entries).replace("\"here\"", "\"\""),
                        deadlineMs * 500,
                        deadlineMs * 1_000,
                        deadlineMs * 500,
                        deadlineMs * 1_000));
        Path traces = folder.resolve("traces");
        Path settings =
                Files.writeString(folder.resolve("settings.json"), "{\"trace\":{\"folder\":\"%s\"}}".formatted(traces));
        List<String> command =
                new ArrayList<>(List.of(ProcessHandle.current().info().command().orElseThrow()));
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName(), "node"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("KITEMUX_SETTINGS", settings.toString());
        builder.environment().put("TMPDIR", folder.toString());
        return new NodeProcess(builder.redirectErrorStream(true).start(), clients, operators, traces);
    }

    private void read() {
        try (BufferedReader from = process.inputReader()) {
            from.lines().forEach(line -> {
                lines.add(line);
                if (line.contains("listening on ")) {
                    listening.countDown();
                }
            });
        } catch (IOException | UncheckedIOException e) {
            lines.add("its output could not be read: " + e);
        }
    }

    NodeProcess awaitListening() throws InterruptedException {
        assertTrue(listening.await(TIMEOUT_S, TimeUnit.SECONDS), () -> "the process did not listen: " + lines);
        return this;
    }

    /** Waits until the readiness call reports that the process accepts clients. */
    void awaitReady() throws IOException {
        int status;
        do {
            try (Socket caller = new Socket(operators.getAddress(), operators.getPort())) {
                Site.write(caller, "GET /ops/readiness HTTP/1.1\r\nHost: ops\r\n\r\n");
                status = Http.read(caller.getInputStream()).status();
            }
        } while (status != 200);
    }

    /** Connects a client whose writes take what the socket has room for and do not wait. */
    SocketChannel connectChannel() throws IOException {
        SocketChannel client = SocketChannel.open(clients);
        client.configureBlocking(false);
        return client;
    }

    Socket connect() throws IOException {
        Socket client = new Socket(clients.getAddress(), clients.getPort());
        client.setTcpNoDelay(true);
        client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
        return client;
    }

    /** Stops the process at this place, or lets it go on. */
    void setStopped(boolean isStopped) throws IOException, InterruptedException {
        String signal = isStopped ? "-STOP" : "-CONT";
        new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Returns the figures that operators get, by name. */
    Map<String, Long> readStats() throws IOException {
        try (Socket caller = new Socket(operators.getAddress(), operators.getPort())) {
            Site.write(caller, "GET /ops/stats HTTP/1.1\r\nHost: ops\r\n\r\n");
            return Http.read(caller.getInputStream())
                    .body()
                    .lines()
                    .map(line -> line.split("="))
                    .collect(Collectors.toMap(parts -> parts[0], parts -> Long.parseLong(parts[1])));
        }
    }

    /** Returns the lines that this process has traced so far. */
    List<String> readTrace() throws IOException {
        try (Stream<Path> files = Files.list(traces)) {
            Path file = files.filter(each -> each.toString().endsWith("-" + process.pid() + ".trace"))
                    .findFirst()
                    .orElseThrow();
            return Files.readAllLines(file);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly()
                .onExit()
                .orTimeout(TIMEOUT_S, TimeUnit.SECONDS)
                .join();
    }
}
