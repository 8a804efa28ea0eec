package kitemux.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import kitemux.config.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A sidecar whose servers are told by a list, by a file and by checks, and what it leaves for the next one.
 *
 */
class SidecarMembersTest {
    @TempDir
    private Path folder;

    private final List<HttpServer> running = new ArrayList<>();
    private SidecarProcess sidecar;
    private int port;

    /** A server that answers with its name, and its checks as it is told. */
    private static final class Web {
        final String address;
        volatile int health = 200;
        volatile CountDownLatch checks = new CountDownLatch(1);

        Web(HttpServer server, String name) {
            address = "127.0.0.1:" + server.getAddress().getPort();
            server.createContext("/", exchange -> {
                boolean check = exchange.getRequestURI().getPath().equals("/healthz");
                byte[] body = name.getBytes(StandardCharsets.UTF_8);
                exchange.sendResponseHeaders(check ? health : 200, body.length);
                exchange.getResponseBody().write(body);
                exchange.close();
                if (check) {
                    checks.countDown();
                }
            });
        }
    }

    /** Discovery by HTTP: a text and a status, and how often it was asked. */
    private static final class Lists {
        volatile int status = 200;
        volatile String text = "";
        volatile CountDownLatch asked = new CountDownLatch(1);
        final String address;

        Lists(HttpServer server) {
            address = "http://127.0.0.1:" + server.getAddress().getPort() + "/servers";
            server.createContext("/servers", exchange -> {
                byte[] body = text.getBytes(StandardCharsets.UTF_8);
                exchange.sendResponseHeaders(status, body.length);
                exchange.getResponseBody().write(body);
                exchange.close();
                asked.countDown();
            });
        }

        /**
         * Waits until what it says now has been read: the second time it is asked from now on, the first is
         * over.
         */
        void read() throws InterruptedException {
            for (int i = 0; i < 2; i++) {
                asked = new CountDownLatch(1);
                assertTrue(asked.await(20, TimeUnit.SECONDS), "the list is not asked for");
            }
        }
    }

    private HttpServer server() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(Executors.newFixedThreadPool(2, task -> {
            Thread thread = new Thread(task, "stand-in");
            thread.setDaemon(true);
            return thread;
        }));
        running.add(server);
        server.start();
        return server;
    }

    private Web web(String name) throws IOException {
        return new Web(server(), name);
    }

    @BeforeEach
    void begin() throws IOException {
        port = SidecarProcess.freePort();
    }

    @AfterEach
    void end() throws InterruptedException {
        if (sidecar != null) {
            sidecar.close();
        }
        running.forEach(server -> server.stop(0));
    }

    private static String one(String name, Web web, String state) {
        return "{\"name\":\"" + name + "\",\"address\":\"" + web.address + "\",\"state\":\"" + state + "\"}";
    }

    private static String list(String... servers) {
        return "{\"servers\":[" + String.join(",", servers) + "]}";
    }

    private Path description(String more) throws IOException {
        return Files.writeString(
                folder.resolve("app.hcl"),
                "name = \"desk\"\nlisten = \"127.0.0.1:" + port
                        + "\"\n"
                        + "class \"view-page\" {\n  again = \"safe\"\n  aim = \"3s\"\n  deadline = \"5s\"\n}\n"
                        + more);
    }

    private String source(Lists lists) {
        return "members {\n  list = \"" + lists.address
                + "\"\n  refresh = \"100ms\"\n  back_off = \"200ms\"\n"
                + "  state = \"" + folder.resolve("state") + "\"\n}\n";
    }

    @Test
    void aListIsFollowedDoubtedWhereItLosesMostAndOutlivedByWhatItSaid() throws Exception {
        Web a = web("a");
        Web b = web("b");
        Web c = web("c");
        Lists lists = new Lists(server());
        lists.text = list(one("w1", a, "ready"), one("w2", b, "ready"));
        Path file = description(source(lists));
        sidecar = new SidecarProcess(file, port);
        sidecar.await("listening on");
        assertEquals(Set.of("a", "b"), sidecar.answers(40));

        lists.text = list(one("w1", a, "draining"), one("w2", b, "ready"), one("w3", c, "ready"));
        lists.read();
        // What was under way is over: from now on nothing goes to the one that drains.
        sidecar.answers(1);
        assertEquals(Set.of("b", "c"), sidecar.answers(40));

        lists.text = list();
        sidecar.await("lacks 2 of 2 that it named, which is doubted");
        assertEquals(Set.of("b", "c"), sidecar.answers(40));
        lists.text = "{\"servers\": [{\"name\":";
        sidecar.await("is not JSON");
        lists.status = 500;
        sidecar.await("status 500; what it said before holds");
        assertEquals(Set.of("b", "c"), sidecar.answers(40));

        // Killed as discovery is down: the next one begins with what this one knew.
        sidecar.close();
        sidecar = new SidecarProcess(file, port);
        sidecar.await("status 500");
        sidecar.await("began with what the process before this one knew");
        sidecar.await("listening on");
        assertEquals(Set.of("b", "c"), sidecar.answers(40));
        // Discovery is back, and names others.
        lists.text = list(one("w2", b, "ready"), one("w3", c, "ready"), one("w1", a, "ready"));
        lists.status = 200;
        sidecar.await("can be read again");
        lists.read();
        sidecar.answers(1);
        assertEquals(Set.of("a", "b", "c"), sidecar.answers(60));
    }

    @Test
    void aServerThatFailsItsChecksGetsNothingNewUntilItPassesThem() throws Exception {
        Web a = web("a");
        Web b = web("b");
        sidecar = new SidecarProcess(
                description("server \"w1\" {\n  address = \"" + a.address + "\"\n}\n"
                        + "server \"w2\" {\n  address = \"" + b.address + "\"\n}\n"
                        + "health {\n  path = \"/healthz\"\n  every = \"100ms\"\n  timeout = \"100ms\"\n  hold "
                        + "= \"200ms\"\n}\n"),
                port);
        sidecar.await("listening on");
        assertEquals(Set.of("a", "b"), sidecar.answers(40));
        a.health = 503;
        sidecar.await("server w1 fails its checks: it gets nothing new");
        sidecar.answers(1);
        assertEquals(Set.of("b"), sidecar.answers(40));
        // The other as well: checks that take all out are not believed.
        b.health = 503;
        sidecar.await("2 of 2 servers fail their checks: no more than 1 are taken out");
        assertEquals(Set.of("b"), sidecar.answers(40));
        a.health = 200;
        b.health = 202;
        sidecar.await("server w1 passes its checks");
        sidecar.answers(1);
        assertEquals(Set.of("a", "b"), sidecar.answers(60));
    }

    @Test
    void aWatchedFileIsFollowedAndWithoutAnyServerAllIsRefusedAtOnce() throws Exception {
        Web a = web("a");
        Path servers = folder.resolve("servers.json");
        sidecar = new SidecarProcess(description("members {\n  file = \"" + servers + "\"\n}\n"), port);
        sidecar.await("no server is known yet");
        sidecar.await("listening on");
        assertEquals(503, sidecar.ask().statusCode());
        Files.writeString(servers, list(one("w1", a, "ready")));
        CountDownLatch served = new CountDownLatch(1);
        while (served.getCount() > 0) {
            if (sidecar.ask().statusCode() == 200) {
                served.countDown();
            }
        }
        assertEquals(Set.of("a"), sidecar.answers(10));
        Files.delete(servers);
        sidecar.await("servers.json: cannot be read");
        assertEquals(Set.of("a"), sidecar.answers(10));
    }

    @Test
    void itEndsWithItsApplicationAndSaysSoAsJson() throws Exception {
        Web a = web("a");
        sidecar = new SidecarProcess(
                description(
                        "server \"w1\" {\n  address = \"" + a.address + "\"\n}\n" + "logs {\n  form = \"json\"\n}\n"),
                port,
                "--",
                "sh",
                "-c",
                "exit 7");
        Json line = Json.read(sidecar.await("has ended with exit code 7").getBytes(StandardCharsets.UTF_8));
        assertEquals("info", line.path("level").asText());
        assertTrue(line.path("time").asText().endsWith("Z"), line.path("time").asText());
        assertEquals(7, sidecar.exit());
    }

    /** What it still has to ask goes through the sidecar: it is told first, and served until it has ended. */
    @Test
    void onSigtermTheApplicationIsToldFirstAndServedUntilItHasEnded() throws Exception {
        Web a = web("a");
        String asks =
                "trap 'echo told; read line; echo ends; exit 0' TERM; echo begun; while read line;" + " do :; done";
        sidecar = new SidecarProcess(
                description("server \"w1\" {\n  address = \"" + a.address + "\"\n}\n"), port, "--", "bash", "-c", asks);
        sidecar.await("begun");
        // By its handle: else its streams would be closed as well.
        sidecar.process.toHandle().destroy();
        sidecar.await("told");
        assertEquals(Set.of("a"), sidecar.answers(5));
        sidecar.process.getOutputStream().write('\n');
        sidecar.process.getOutputStream().flush();
        sidecar.await("ends");
        assertEquals(0, sidecar.exit());
    }
}
