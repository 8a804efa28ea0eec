package kitemux.keeper;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import kitemux.net.EventLoopClock;
import kitemux.net.NioNetwork;
import kitemux.net.PollingLoop;
import kitemux.net.SelectorLoop;
import kitemux.net.SocketBudget;
import kitemux.rollout.ProtocolParameters;
import kitemux.rollout.Subscriber;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Watch of a node on a scripted keeper. */
@Timeout(60)
class RolloutWatchTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final PollingLoop loop = SelectorLoop.open();
    private final RecordingLog log = new RecordingLog();
    private final LinkedBlockingQueue<Long> revs = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> reports = new LinkedBlockingQueue<>();
    /** Watch calls that have arrived, with their request lines read. */
    private final LinkedBlockingQueue<WatchCall> openedWatches = new LinkedBlockingQueue<>();

    private volatile SortedMap<String, String> values = new TreeMap<>();
    private final SocketBudget sockets = new SocketBudget(1_024);
    private ServerSocket listening;
    private RolloutWatch watch;

    private record WatchCall(String path, Socket socket) {
        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** Sends each line with its line end as a chunk. */
        void sendLines(String... lines) throws IOException {
            for (String line : lines) {
                send(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
            }
        }

        /** Waits until the node has closed the connection. */
        void awaitEnd() throws IOException {
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    @BeforeEach
    void begin() throws IOException {
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread accepts = new Thread(this::accept, "keeper");
        accepts.setDaemon(true);
        accepts.start();
        EventLoopClock time = EventLoopClock.of(loop);
        watch = new RolloutWatch(
                loop,
                NioNetwork.SYSTEM,
                time,
                List.of((InetSocketAddress) listening.getLocalSocketAddress()),
                new Subscriber(
                        ProtocolParameters.defaults(),
                        new ConfigRules(),
                        17,
                        5,
                        1,
                        0,
                        new TreeMap<>(),
                        1,
                        time.nowUs()),
                17,
                5,
                sockets,
                (rev, all) -> {
                    values = all;
                    revs.add(rev);
                },
                log);
        watch.start();
    }

    @AfterEach
    void end() throws Exception {
        loop.submit(watch::close).sync();
        assertEquals(0, loop.submit(sockets::openCount).get(), "all counted sockets are closed");
        listening.close();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.accept();
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
                String first = in.readLine();
                int length = 0;
                for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                    length = line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")
                            ? Integer.parseInt(line.substring(15).strip())
                            : length;
                }
                if (first == null) {
                    // Closed before a request arrived.
                    socket.close();
                    continue;
                }
                if (first.startsWith("GET ")) {
                    openedWatches.add(new WatchCall(first.split(" ")[1], socket));
                    continue;
                }
                char[] body = new char[length];
                for (int at = 0; at < length; ) {
                    at += in.read(body, at, length - at);
                }
                reports.add(first.split(" ")[1] + " " + new String(body));
                socket.getOutputStream().write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                socket.close();
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    private WatchCall nextWatch() throws InterruptedException {
        WatchCall next = openedWatches.poll(30, TimeUnit.SECONDS);
        assertNotNull(next, "no further watch call: " + log.all());
        return next;
    }

    private static String version(long rev, String path, String quota) {
        return "{\"rev\":" + rev + ",\"set\":{\"" + path + "\":{\"quotaPerS\":" + quota + "}},\"drop\":[]}";
    }

    private static String part(int part, int of, String path) {
        return "{\"rev\":5,\"part\":" + part + ",\"of\":" + of + ",\"set\":{\"" + path + "\":{\"quotaPerS\":1}}}";
    }

    private long malformedEvents() throws Exception {
        return loop.submit(() -> watch.subscriber().malformedEvents()).get();
    }

    @Test
    void invalidEventsLeaveLastValidVersionInForce() throws Exception {
        WatchCall first = nextWatch();
        assertEquals("/rollout/watch?after=0&node=17&life=5", first.path);
        first.send(OK);
        // An empty line is a heartbeat, and lines may be split at any byte.
        first.sendLines("", version(1, "realms/a", "1"));
        assertEquals(1, revs.take());
        // A version that is not the next one is never applied.
        first.sendLines(version(3, "realms/a", "3"));
        first.awaitEnd();
        WatchCall second = nextWatch();
        assertEquals("/rollout/watch?after=1&node=17&life=5", second.path);
        second.send(OK);
        second.sendLines("what is this");
        second.awaitEnd();
        WatchCall third = nextWatch();
        third.send(OK);
        third.sendLines("{\"rev\":2,\"set\":{},\"more\":1,\"drop\":[]}");
        third.awaitEnd();
        assertEquals(3, malformedEvents());
        WatchCall fourth = nextWatch();
        fourth.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        fourth.awaitEnd();
        // The watch ends after one part of a snapshot, so nothing of it is in force.
        WatchCall fifth = nextWatch();
        fifth.send(OK);
        fifth.sendLines(part(1, 2, "realms/x"));
        fifth.send("0\r\n\r\n");
        fifth.awaitEnd();
        WatchCall sixth = nextWatch();
        assertEquals("/rollout/watch?after=1&node=17&life=5", sixth.path);
        assertEquals("[realms/a]", values.keySet().toString());
        assertTrue(revs.isEmpty());
        sixth.send(OK);
        sixth.sendLines(part(1, 2, "realms/x"), part(2, 2, "realms/y"));
        assertEquals(5, revs.take());
        assertEquals("[realms/x, realms/y]", values.keySet().toString());
        assertTrue(
                log.all().stream()
                        .anyMatch(line -> line.contains("bad line: what is this") || line.contains("bad line: w")),
                log.all().toString());
    }

    @Test
    void rejectedVersionIsReportedAndReplacedByNext() throws Exception {
        WatchCall only = nextWatch();
        only.send(OK);
        only.sendLines("", version(1, "realms/a", "1"));
        assertEquals(1, revs.take());
        awaitReport("\"rev\":1,\"waits_restart\":[],\"refused\":[]}");
        only.sendLines(version(2, "realms/a", "-2"));
        awaitReport("\"rev\":1,\"waits_restart\":[],\"refused\":[{\"rev\":2,\"path\":\"realms/a\","
                + "\"reason\":\"quotaPerS is negative\"}]}");
        assertEquals("{realms/a={\"quotaPerS\":1}}", values.toString());
        only.sendLines(version(3, "realms/a", "3"));
        assertEquals(3, revs.take());
        awaitReport("\"rev\":3,\"waits_restart\":[],\"refused\":[]}");
        only.sendLines(version(4, "limits/attemptsCap", "1").replace("{\"quotaPerS\":1}", "2"));
        awaitReport("\"rev\":4,\"waits_restart\":[\"limits/attemptsCap\"],\"refused\":[]}");
    }

    private void awaitReport(String end) throws InterruptedException {
        String report = "";
        while (!report.endsWith(end)) {
            report = reports.poll(30, TimeUnit.SECONDS);
            assertNotNull(report, "no report ends with " + end);
            assertTrue(report.startsWith("/rollout/report {\"node\":17,\"life\":5,"), report);
        }
    }

    @Test
    void keeperWithoutQuorumIsLoggedAndKeptIfOnlyOne() throws Exception {
        WatchCall first = nextWatch();
        first.send(OK);
        first.sendLines("{\"rev\":0,\"alone\":true}");
        log.awaitLine(0, "its keeper hears no majority");
        first.sendLines("");
        log.awaitLine(0, "told all");
    }
}
