package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import kitemux.Balancer;
import kitemux.ServiceQBalancer;
import kitemux.cli.Main;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a whole node, in this process or as a process of its own. */
class NodeTest {
    private static final String JAVA = ProcessHandle.current().info().command().orElseThrow();

    /** Returns a balancer that throws an exception on the first call of one method. */
    static Balancer breaking(Balancer sound, String event) {
        boolean[] broken = {false};
        return (Balancer) Proxy.newProxyInstance(
                Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, args) -> {
                    if (method.getName().equals(event) && !broken[0]) {
                        broken[0] = true;
                        throw new IllegalStateException("broken for the test");
                    }
                    try {
                        return method.invoke(sound, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    @ParameterizedTest
    @ValueSource(strings = {"onRequest", "onOutcome"})
    void exceptionInTheBalancerFailsOneRequestOnly(String event) throws Exception {
        // Neither response is a success, so the client receives the node's own.
        try (ScriptedServer server = new ScriptedServer((request, peer) -> peer.write(Http.answer("500 No", "", "")));
                Site site = Site.quiet()) {
            site.module = actions -> breaking(new ServiceQBalancer(site.settings, 7, actions), event);
            site.start(server);
            assertEquals(500, site.ask(Http.order("first", "4000m")).status());
            assertEquals(502, site.ask(Http.order("second", "4000m")).status());
        }
    }

    private static Path configure(Path folder, String discovery) throws Exception {
        Path next = Files.writeString(folder.resolve("next.json"), """
                {"listen":"127.0.0.1:0","discovery":"%s","seed":"1","limits":{"sockets":256},"settings":
                 {"membershipMode":"on_request","limits":{"attemptsCap":1},
                  "classes":[{"name":"page","onTimeUs":100000,"giveUpUs":500000,"repeat":"safe"}]}}
                """.formatted(discovery));
        return Files.move(next, folder.resolve("config.json"), StandardCopyOption.REPLACE_EXISTING);
    }

    /** Starts a node process whose environment names the address of discovery too. */
    private static Process startWithDiscovery(Path config, String discovery, String... flags) throws Exception {
        return start(config, Map.of("PROXY_DISCOVERY", discovery), flags);
    }

    private static Process start(Path config, Map<String, String> env, String... flags) throws Exception {
        List<String> command = new ArrayList<>(List.of(JAVA, "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of(flags));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName(), "node"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().putAll(env);
        return builder.redirectErrorStream(true).start();
    }

    private static void awaitLine(BufferedReader lines, String part) throws Exception {
        String line = lines.readLine();
        while (line != null && !line.contains(part)) {
            line = lines.readLine();
        }
        assertNotNull(line, "no line contains " + part);
    }

    private static void sendSighup(Process process) throws Exception {
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
    }

    @Test
    void sigtermEndsAnIdleNode(@TempDir Path folder) throws Exception {
        Process process = startWithDiscovery(configure(folder, "127.0.0.1:9"), "127.0.0.1:9");
        try {
            awaitLine(process.inputReader(), "listening on ");
            process.destroy();
            assertTrue(process.waitFor(20, TimeUnit.SECONDS));
            assertEquals(143, process.exitValue(), "ended by SIGTERM in good order");
        } finally {
            process.destroyForcibly();
        }
    }

    /**
     * Guards against flags that a JVM does not understand: it reports some of them with a warning only and continues.
     */
    @Test
    void jvmAcceptsTheDeploymentsFlags() throws Exception {
        Matcher run = Pattern.compile("^run = \"exec java (.*) -jar ", Pattern.MULTILINE)
                .matcher(Files.readString(Path.of("deploy", "balancer.toml")));
        assertTrue(run.find());
        List<String> command = new ArrayList<>(List.of(JAVA));
        command.addAll(List.of(run.group(1).split(" ")));
        command.add("--version");
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        List<String> lines = process.inputReader().lines().toList();
        assertEquals(0, process.waitFor(), lines.toString());
        assertTrue(
                lines.stream().noneMatch(line -> line.matches("(?i).*(error|warning|usage|unrecogni).*")),
                lines.toString());
    }

    @Test
    void sigtermDuringTheWarmUpEndsTheNode(@TempDir Path folder) throws Exception {
        Process process = startWithDiscovery(configure(folder, "127.0.0.1:9"), "127.0.0.1:9");
        try {
            awaitLine(process.inputReader(), "warming up");
            process.destroy();
            assertTrue(process.waitFor(20, TimeUnit.SECONDS));
            assertEquals(143, process.exitValue());
        } finally {
            process.destroyForcibly();
        }
    }

    /** Guards against requests cut off by a second SIGTERM: requests in flight are still answered. */
    @Test
    void secondSigtermDoesNotCutRequestsOff(@TempDir Path folder) throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer server = ScriptedServer.servingFrom(answer, "late")) {
            Path config = configureWithServer(folder, "s0=" + server.endpoint() + "=Ready", "on_request", "5000000");
            Process process = start(config, Map.of("PROXY_DISCOVERY", "127.0.0.1:9"));
            try {
                BufferedReader lines = process.inputReader();
                Socket client = new Socket(InetAddress.getLoopbackAddress(), listeningPort(process, lines));
                client.setSoTimeout(20_000);
                Site.write(client, Http.page("/api/p", "t", "5000m"));
                ScriptedServer.next(server.requests);
                process.destroy();
                int status = 200;
                for (int i = 0; i < 5_000 && status == 200; i++) {
                    status = ask(client.getPort(), "GET /up HTTP/1.1\r\nHost: h\r\n\r\n")
                            .status();
                }
                assertEquals(503, status, "the first signal must be in force");
                new ProcessBuilder("kill", "-TERM", Long.toString(process.pid()))
                        .start()
                        .waitFor();
                answer.countDown();
                assertEquals("late", Http.read(client.getInputStream()).body());
                assertTrue(process.waitFor(20, TimeUnit.SECONDS));
                assertEquals(143, process.exitValue());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /**
     * Guards against serving by an outdated list: a change counts as received from the first moment of a process on.
     */
    @Test
    void noRequestIsServedBeforeTheFirstPushedList(@TempDir Path folder) throws Exception {
        CountDownLatch served = new CountDownLatch(1);
        try (ScriptedServer drains = ScriptedServer.serving("drains");
                ScriptedServer ready = ScriptedServer.serving("ready");
                ScriptedServer agent = new ScriptedServer((request, peer) -> {
                    peer.write(Site.watchHead());
                    try {
                        // Gives a node that wrongly serves before the list arrives the time to do so.
                        served.await(500, TimeUnit.MILLISECONDS);
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    peer.write(Site.chunk(Site.list(
                                            2,
                                            true,
                                            "s0=" + drains.endpoint() + "=Terminating",
                                            "s1=" + ready.endpoint() + "=Ready")
                                    .replace("\"here\"", "\"\"")
                            + "\n"));
                })) {
            Path config = configureWithServer(folder, "s0=" + drains.endpoint() + "=Ready", "pushed", "500000");
            Process process = start(config, Map.of("PROXY_DISCOVERY", agent.endpoint()));
            try {
                // The process calls the agent during its warm-up, which takes longer than that delay on some machines.
                int port = listeningPort(process, process.inputReader());
                assertEquals("ready", ask(port, Http.page("t")).body());
                served.countDown();
                assertEquals(0, drains.requests.size());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static int listeningPort(Process process, BufferedReader lines) throws Exception {
        String line = lines.readLine();
        while (!line.contains("listening on ")) {
            line = lines.readLine();
        }
        return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).strip());
    }

    private static Path configureWithServer(Path folder, String entry, String mode, String giveUpUs) throws Exception {
        Path config = configure(folder, "127.0.0.1:9");
        try (SocketChannel holder = reserveSharedPort()) {
            return Files.writeString(
                    config,
                    Files.readString(config)
                            .replace("127.0.0.1:0", "127.0.0.1:" + port(holder))
                            .replace("on_request", mode)
                            .replace("500000,", giveUpUs + ",")
                            .replace(
                                    "\"seed\"",
                                    "\"known\":" + Site.list(1, true, entry).replace("\"here\"", "\"\"")
                                            + ",\"seed\""));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"warming up", "listening on "})
    void reloadIsAppliedHoweverEarlyItComes(String when, @TempDir Path folder) throws Exception {
        ScriptedServer.Script watch = (request, peer) -> peer.write(Site.watchHead());
        try (ScriptedServer before = new ScriptedServer(watch);
                ScriptedServer after = new ScriptedServer(watch)) {
            Process process = startWithDiscovery(configure(folder, before.endpoint()), before.endpoint());
            try {
                awaitLine(process.inputReader(), when);
                configure(folder, after.endpoint());
                sendSighup(process);
                ScriptedServer.next(after.requests);
                assertTrue(process.isAlive());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Creates an archive with this JVM, of the JDK's classes only. */
    private static Path createArchive(Path folder) throws Exception {
        Path archive = folder.resolve("node.jsa");
        Process dump = new ProcessBuilder(JAVA, "-Xshare:dump", "-XX:SharedArchiveFile=" + archive)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        assertEquals(0, dump.waitFor());
        return archive;
    }

    /** Changes the JVM's name in the archive's header, as in an archive of another JVM. */
    private static void changeJvmName(Path archive) throws Exception {
        byte[] bytes = Files.readAllBytes(archive);
        String head = new String(bytes, 0, 4096, StandardCharsets.ISO_8859_1);
        int name = head.indexOf("64-Bit Server VM");
        assertTrue(name > 0, "the archive's header must name its JVM");
        bytes[name] = '9';
        Files.delete(archive);
        Files.write(archive, bytes);
    }

    @ParameterizedTest
    @ValueSource(strings = {"missing", "spoilt", "another JVM's", "sound"})
    void nodeStartsWithAnyClassArchiveAndReportsAnUnusedOne(String what, @TempDir Path folder) throws Exception {
        Path archive = what.equals("missing") ? folder.resolve("none.jsa") : createArchive(folder);
        if (what.equals("spoilt")) {
            Files.delete(archive);
            Files.writeString(archive, "no archive at all");
        } else if (what.equals("another JVM's")) {
            changeJvmName(archive);
        }
        Process process = startWithDiscovery(
                configure(folder, "127.0.0.1:9"), "127.0.0.1:9", "-Xshare:auto", "-XX:SharedArchiveFile=" + archive);
        try {
            List<String> before = process.inputReader()
                    .lines()
                    .takeWhile(line -> !line.contains("listening on "))
                    .toList();
            assertEquals(
                    !what.equals("sound"),
                    before.stream().anyMatch(line -> line.contains("class archive " + archive)),
                    before.toString());
        } finally {
            process.destroyForcibly();
        }
    }

    private static Process startWithOperatorFile(Path folder, String operator) throws Exception {
        Path file = Files.writeString(folder.resolve("operator.json"), operator);
        return start(configure(folder, "127.0.0.1:9"), Map.of("KITEMUX_SETTINGS", file.toString()));
    }

    @Test
    void secondNodeCannotOpenTheSameJournal(@TempDir Path folder) throws Exception {
        String operator = "{\"orders\":{\"folder\":\"" + folder.resolve("orders") + "\"}}";
        Process first = startWithOperatorFile(folder, operator);
        try {
            awaitLine(first.inputReader(), "listening on ");
            Process second = startWithOperatorFile(folder, operator);
            awaitLine(second.inputReader(), "orders.folder cannot be used: another node writes");
            assertEquals(2, second.waitFor());
            assertTrue(first.isAlive());
            first.destroy();
            assertEquals(143, first.waitFor(), "ended in good order, with its journal");
        } finally {
            first.destroyForcibly();
        }
    }

    @Test
    void eachFaultOfTheOperatorFileIsReportedOnItsOwnLine(@TempDir Path folder) throws Exception {
        Process process = startWithOperatorFile(folder, "{\"orders\":{\"sync\":\"x\",\"lateMs\":0},\"color\":1}");
        List<String> lines = process.inputReader().lines().toList();
        assertEquals(2, process.waitFor());
        for (String field : List.of("color", "orders.folder", "orders.sync", "orders.lateMs")) {
            assertTrue(lines.stream().anyMatch(line -> line.startsWith("kitemux: " + field + " ")), lines.toString());
        }
    }

    @Test
    void sighupMovesTheWatchAndABadFileChangesNothing(@TempDir Path folder) throws Exception {
        ScriptedServer.Script watch = (request, peer) -> peer.write(Site.watchHead());
        try (ScriptedServer before = new ScriptedServer(watch);
                ScriptedServer after = new ScriptedServer(watch)) {
            Path config = configure(folder, before.endpoint());
            Process process = startWithDiscovery(config, before.endpoint());
            try {
                BufferedReader lines = process.inputReader();
                ScriptedServer.next(before.requests);
                configure(folder, after.endpoint());
                sendSighup(process);
                ScriptedServer.next(after.requests);
                ScriptedServer.next(before.disconnectedPeers);
                Files.writeString(config, "{");
                sendSighup(process);
                awaitLine(lines, "PROXY_CONFIG is not JSON");
                configure(folder, before.endpoint());
                sendSighup(process);
                sendSighup(process);
                ScriptedServer.next(before.requests);
                process.destroy();
                sendSighup(process);
                assertTrue(process.waitFor(20, TimeUnit.SECONDS));
                assertEquals(143, process.exitValue(), "still ended by SIGTERM in good order");
                assertEquals(1, after.connections.get());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    // ---------------------------------------------------------------- a second process that replaces the first

    /** Reserves a port that several processes share, without listening on it. */
    private static SocketChannel reserveSharedPort() throws Exception {
        SocketChannel holder = SocketChannel.open();
        return holder.setOption(StandardSocketOptions.SO_REUSEADDR, true)
                .setOption(StandardSocketOptions.SO_REUSEPORT, true)
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    private static int port(SocketChannel holder) throws Exception {
        return ((InetSocketAddress) holder.getLocalAddress()).getPort();
    }

    private static Http.Message ask(int port, String request) throws Exception {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout(20_000);
            return Site.ask(client, request);
        }
    }

    private static String call(String method, String path) {
        return method + " " + path + " HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n";
    }

    @Test
    void secondProcessTakesOverWithoutLossAndKeepsServersDrained(@TempDir Path folder) throws Exception {
        try (ScriptedServer in = ScriptedServer.serving("in");
                ScriptedServer out = ScriptedServer.serving("out");
                SocketChannel clients = reserveSharedPort();
                SocketChannel first = reserveSharedPort();
                SocketChannel second = reserveSharedPort()) {
            Path config = configure(folder, "127.0.0.1:9");
            Files.writeString(
                    config,
                    Files.readString(config)
                            .replace(
                                    "\"seed\"",
                                    "\"known\":"
                                            + Site.list(
                                                            1,
                                                            true,
                                                            "s0=" + in.endpoint() + "=Ready",
                                                            "s1=" + out.endpoint() + "=Ready")
                                                    .replace("\"here\"", "\"\"")
                                            + ",\"seed\""));
            Map<String, String> env = Map.of(
                    "PROXY_LISTEN",
                    "127.0.0.1:" + port(clients),
                    "TMPDIR",
                    Files.createDirectory(folder.resolve("tmp")).toString());
            List<Process> processes = new ArrayList<>();
            try {
                Map<String, String> one = new HashMap<>(env);
                one.put("PROXY_MGMT", "127.0.0.1:" + port(first));
                processes.add(start(config, one));
                awaitLine(processes.get(0).inputReader(), "listening on ");
                assertEquals(
                        200,
                        ask(port(first), call("POST", "/ops/servers/down/s1")).status());
                Map<String, String> two = new HashMap<>(env);
                two.put("PROXY_MGMT", "127.0.0.1:" + port(second));
                processes.add(start(config, two));
                awaitLine(processes.get(1).inputReader(), "listening on ");
                assertEquals(
                        200, ask(port(second), call("GET", "/ops/readiness")).status());
                Socket kept = new Socket(InetAddress.getLoopbackAddress(), port(clients));
                processes.get(0).destroy();
                int asked = 0;
                int crossed = 0;
                while (processes.get(0).isAlive() || asked < 50) {
                    try {
                        assertEquals(
                                200,
                                ask(port(clients), "GET /up HTTP/1.1\r\nHost: h\r\n\r\n")
                                        .status());
                        assertEquals(
                                "in",
                                ask(port(clients), Http.page("t" + asked++)).body());
                    } catch (IOException e) {
                        // The system resets connections in the backlog of a listener that closes, so the client
                        // retries.
                        crossed++;
                    }
                }
                assertTrue(crossed <= 2, crossed + " requests crossed the end of the old listener");
                kept.close();
                assertEquals(143, processes.get(0).exitValue(), "ended in good order");
                assertEquals(
                        200,
                        ask(port(second), call("POST", "/ops/servers/up/s1")).status());
                assertEquals(
                        200, ask(port(second), call("GET", "/ops/readiness")).status());
            } finally {
                processes.forEach(Process::destroyForcibly);
            }
            assertEquals(0, out.requests.size(), "the drained server must receive nothing from either process");
        }
    }
}
