package kitemux.keeper;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import kitemux.config.Json;
import kitemux.disk.FolderDisk;
import kitemux.rollout.Ballot;
import kitemux.rollout.Change;
import kitemux.rollout.LogRecord;
import kitemux.rollout.ProtocolParameters;
import kitemux.rollout.Version;
import kitemux.rollout.Vote;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Keepers and watchers over real sockets, cut, silenced and ended where it hurts. */
@Timeout(120)
class KeeperTest {
    private static final String ACME = "{\"realms/acme\":{\"quotaPerS\":12.0}}";

    @TempDir
    private Path root;

    private Keepers keepers(int count, int voting, int nodes) throws Exception {
        return new Keepers(root, count, voting, nodes, ProtocolParameters.defaults()).serving();
    }

    private static String id(int number) {
        return String.format("%016x", number);
    }

    private static void assertTaken(long rev, HttpResponse<String> told) {
        assertEquals("200 {\"rev\":" + rev + "}", told.statusCode() + " " + told.body());
    }

    // ---------------------------------------------------------------- what it is for

    @Test
    void aChangeIsInForceAtAllWatchersAndKnownToBe() throws Exception {
        try (Keepers keepers = keepers(4, 3, 5)) {
            List<Keepers.Node> nodes = new ArrayList<>();
            for (int node = 0; node < 4; node++) {
                nodes.add(keepers.node(node, 0, 1, 2, 3));
            }
            assertTaken(1, Keepers.of(keepers.change(1, id(1), 0, ACME)));
            for (Keepers.Node node : nodes) {
                node.awaitInForce(1);
                assertEquals("{realms/acme={\"quotaPerS\":12.0}}", node.values.toString());
            }
            // The fifth node was never started; any keeper knows of all, also the one that does not vote.
            Json status = keepers.awaitInForce(3, 1, 4);
            assertEquals(
                    "4", status.path("not_heard").path("nodes").values().get(0).asText());
            assertEquals(1, status.path("not_heard").path("count").asLong(-1));
            assertEquals("false", status.path("keeper").path("votes").asText());
            assertEquals(
                    List.of(), status.path("keeper").path("keepers_not_heard").values());
            // The same call once more is the same change.
            assertTaken(1, Keepers.of(keepers.change(2, id(1), 0, ACME)));
            assertEquals(1, keepers.status(2, "").path("newest").asLong(0));
        }
    }

    @Test
    void twoProposersAtOnceMakeOneHistory() throws Exception {
        try (Keepers keepers = keepers(3, 3, 2)) {
            Keepers.Node node = keepers.node(0, 0, 1, 2);
            // Of two that set one path, one is told that the other came first.
            List<CompletableFuture<HttpResponse<String>>> same = List.of(
                    keepers.change(0, id(1), 0, ACME),
                    keepers.change(1, id(2), 0, "{\"realms/acme\":{\"quotaPerS\":13.0}}"));
            SortedSet<String> told = new TreeSet<>();
            for (CompletableFuture<HttpResponse<String>> one : same) {
                told.add(Keepers.of(one).statusCode() + " " + Keepers.of(one).body());
            }
            assertEquals("[200 {\"rev\":1}, 409 {\"path\":\"realms/acme\",\"rev\":1}]", told.toString());
            // Of two that set two, both are taken, one behind the other.
            List<CompletableFuture<HttpResponse<String>>> two = List.of(
                    keepers.change(0, id(3), 1, "{\"realms/b\":{\"quotaPerS\":1}}"),
                    keepers.change(2, id(4), 1, "{\"realms/c\":{\"quotaPerS\":2}}"));
            told.clear();
            for (CompletableFuture<HttpResponse<String>> one : two) {
                told.add(Keepers.of(one).statusCode() + " " + Keepers.of(one).body());
            }
            assertEquals("[200 {\"rev\":2}, 200 {\"rev\":3}]", told.toString());
            node.awaitInForce(3);
            assertEquals(
                    "[realms/acme, realms/b, realms/c]", node.values.keySet().toString());
            for (int keeper = 0; keeper < 3; keeper++) {
                try (Socket watch = keepers.watch(keeper, 0, 1)) {
                    List<String> lines = lines(watch, 3);
                    assertTrue(lines.get(0).startsWith("{\"rev\":1,"), lines.get(0));
                    assertTrue(lines.get(2).startsWith("{\"rev\":3,"), lines.get(2));
                }
            }
        }
    }

    /** Objects of a watch, without beats and the framing of chunks. */
    private static List<String> lines(Socket watch, int many) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(watch.getInputStream(), StandardCharsets.UTF_8));
        String status = in.readLine();
        assertEquals("HTTP/1.1 200 OK", status);
        List<String> lines = new ArrayList<>();
        while (lines.size() < many) {
            String line = in.readLine();
            assertNotNull(line, "the watch ended after " + lines);
            if (line.startsWith("{")) {
                lines.add(line);
            }
        }
        return lines;
    }

    // ---------------------------------------------------------------- what fails

    @Test
    void aVoterThatEndsBetweenItsSyncAndItsAnswerKeepsWhatItAccepted() throws Exception {
        try (Keepers keepers = new Keepers(root, 3, 3, 2, ProtocolParameters.defaults())) {
            CountDownLatch synced = new CountDownLatch(1);
            CountDownLatch goOn = new CountDownLatch(1);
            AtomicBoolean accepted = new AtomicBoolean();
            keepers.start(0, disk -> disk);
            keepers.start(1, disk -> disk);
            keepers.start(
                    2,
                    disk -> new HookedDisk(
                            disk,
                            bytes -> {
                                if (new String(bytes, StandardCharsets.UTF_8).contains("\"accepted\":")) {
                                    accepted.set(true);
                                }
                            },
                            () -> {
                                if (accepted.get()) {
                                    synced.countDown();
                                    goOn.await();
                                }
                            }));
            for (int k = 0; k < 3; k++) {
                keepers.lines[k].await(0, " serves;");
            }
            Keepers.Node node = keepers.node(0, 0);
            keepers.cutOff(1, true);
            CompletableFuture<HttpResponse<String>> change = keepers.change(0, id(1), 0, ACME);
            synced.await();
            keepers.keeper(2).stop();
            goOn.countDown();
            keepers.stop(2);
            assertEquals(504, Keepers.of(change).statusCode(), "nobody can know");
            assertTrue(Files.readString(keepers.folder(2).resolve("records")).contains("\"accepted\":"));
            assertTrue(node.revs.isEmpty(), "one voter of three has accepted");
            keepers.start(2, disk -> disk);
            node.awaitInForce(1);
            assertTaken(1, Keepers.of(keepers.change(2, id(1), 0, ACME)));
            keepers.cutOff(1, false);
            int from = keepers.lines[1].await(0, "hears no majority");
            keepers.lines[1].await(from, " serves;");
            assertTaken(1, Keepers.of(keepers.change(1, id(1), 0, ACME)));
        }
    }

    @Test
    void aVoterWithAnEmptyFolderLearnsAndDoesNotVote() throws Exception {
        try (Keepers keepers = keepers(3, 3, 1)) {
            assertTaken(1, Keepers.of(keepers.change(0, id(1), 0, ACME)));
            String identity = keepers.keeper(2).voter().identity();
            keepers.stop(2);
            Files.delete(keepers.folder(2).resolve("records"));
            int said = keepers.lines[2].count();
            keepers.start(2, disk -> disk);
            keepers.lines[2].await(said, " serves; version 1");
            Json keeper = keepers.status(2, "").path("keeper");
            assertEquals("false", keeper.path("votes").asText());
            assertTrue(!keeper.path("identity").asText().equals(identity));
            // Two are left of three; with one of them gone there is no majority.
            assertTaken(2, Keepers.of(keepers.change(2, id(2), 1, "{\"realms/b\":{\"quotaPerS\":1}}")));
            keepers.stop(1);
            assertEquals(
                    503,
                    Keepers.of(keepers.change(0, id(3), 2, "{\"realms/c\":{\"quotaPerS\":1}}"))
                            .statusCode());
        }
    }

    @Test
    void aKeeperThatIsCutOffSaysSoAndTheOthersGoOn() throws Exception {
        try (Keepers keepers = keepers(3, 3, 3)) {
            Keepers.Node node = keepers.node(0, 0, 1, 2);
            try (Socket watch = keepers.watch(0, 0, 1)) {
                keepers.cutOff(0, true);
                assertEquals("{\"rev\":0,\"alone\":true}", lines(watch, 1).get(0));
                HttpResponse<String> refused = Keepers.of(keepers.change(0, id(1), 0, ACME));
                assertEquals(
                        "503 {\"reason\":\"no majority of the voters agreed in time\"}",
                        refused.statusCode() + " " + refused.body());
                assertTaken(1, Keepers.of(keepers.change(1, id(2), 0, "{\"realms/b\":{\"quotaPerS\":1}}")));
                node.awaitInForce(1);
                assertEquals("[realms/b]", node.values.keySet().toString());
                Json status = keepers.awaitInForce(1, 1, 1);
                assertEquals(
                        "0",
                        status.path("keeper")
                                .path("keepers_not_heard")
                                .values()
                                .get(0)
                                .asText());
                keepers.cutOff(0, false);
                String line = "";
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(watch.getInputStream(), StandardCharsets.UTF_8));
                while (!line.startsWith("{\"rev\":1,\"set\"")) {
                    line = in.readLine();
                    assertNotNull(line, "the watch ended");
                }
            }
        }
    }

    @Test
    void aNodeWhoseKeeperFallsSilentWatchesAnother() throws Exception {
        try (Keepers keepers = keepers(3, 3, 1)) {
            Keepers.Node node = keepers.node(0, 0, 1);
            int said = node.said.await(0, "told all");
            keepers.toNodes(0).cut();
            keepers.toNodes(1).cut();
            said = node.said.await(said, "no keeper is watched");
            assertTaken(1, Keepers.of(keepers.change(2, id(1), 0, ACME)));
            assertTrue(node.revs.isEmpty());
            keepers.toNodes(1).join();
            node.awaitInForce(1);
            keepers.awaitInForce(2, 1, 1);
        }
    }

    @Test
    void aWatchThatIsNotReadEnds() throws Exception {
        ProtocolParameters usual = ProtocolParameters.defaults();
        // The pace would take minutes to fill what may be unwritten.
        ProtocolParameters fast = new ProtocolParameters(
                usual.heartbeatIntervalUs(),
                usual.minWatchTimeoutUs(),
                usual.maxWatchTimeoutUs(),
                usual.connectTimeoutUs(),
                usual.minBackoffUs(),
                usual.initialMaxBackoffUs(),
                usual.maxBackoffUs(),
                usual.noQuorumRetryUs(),
                usual.reportIntervalUs(),
                usual.reportTimeoutUs(),
                usual.minPhaseTimeoutUs(),
                usual.maxPhaseTimeoutUs(),
                usual.maxBallots(),
                usual.proposalTimeoutUs(),
                usual.fetchIntervalUs(),
                usual.voterTimeoutUs(),
                usual.recoveryDelayUs(),
                1 << 30,
                1 << 20,
                1 << 20,
                usual.snapshotPartBytes());
        try (Keepers keepers = new Keepers(root, 1, 1, 2, fast).serving();
                Socket unread = keepers.watch(0, 0, 0);
                Socket read = keepers.watch(0, 0, 1)) {
            StringBuilder set = new StringBuilder("{");
            for (int i = 0; i < 100; i++) {
                set.append(i == 0 ? "" : ",")
                        .append("\"realms/tenant-")
                        .append(i)
                        .append("\":{\"quotaPerS\":%d}");
            }
            set.append('}');
            int rev = 0;
            while (keepers.status(0, "").path("keeper").path("watches_unread").asLong(0) == 0) {
                assertTrue(rev < 1_000, "the watch that is not read never ends");
                assertTaken(
                        rev + 1,
                        Keepers.of(keepers.change(
                                0, id(rev + 1), rev, set.toString().replace("%d", Integer.toString(rev + 1)))));
                rev++;
                lines(read, rev == 1 ? 1 : 0, rev);
            }
            assertEquals(1, keepers.status(0, "").path("keeper").path("watches").asLong(-1));
            assertTrue(unread.getInputStream().readAllBytes().length > 0, "what came of it comes to its end");
        }
    }

    @Test
    void aWatchWhoseNodeDoesNotReportEnds() throws Exception {
        ProtocolParameters usual = ProtocolParameters.defaults();
        ProtocolParameters impatient = new ProtocolParameters(
                usual.heartbeatIntervalUs(),
                usual.minWatchTimeoutUs(),
                usual.maxWatchTimeoutUs(),
                usual.connectTimeoutUs(),
                usual.minBackoffUs(),
                usual.initialMaxBackoffUs(),
                usual.maxBackoffUs(),
                usual.noQuorumRetryUs(),
                usual.reportIntervalUs() / 10,
                usual.reportTimeoutUs() / 10,
                usual.minPhaseTimeoutUs(),
                usual.maxPhaseTimeoutUs(),
                usual.maxBallots(),
                usual.proposalTimeoutUs(),
                usual.fetchIntervalUs(),
                usual.voterTimeoutUs(),
                usual.recoveryDelayUs(),
                usual.rateBytesPerSecond(),
                usual.burstBytes(),
                usual.initialBurstBytes(),
                usual.snapshotPartBytes());
        try (Keepers keepers = new Keepers(root, 1, 1, 2, impatient).serving();
                Socket mute = keepers.watch(0, 0, 1)) {
            Keepers.Node node = keepers.node(0, 0);
            node.said.await(0, "told all");
            assertTrue(mute.getInputStream().readAllBytes().length > 0, "it ends");
            Json figures = keepers.status(0, "").path("keeper");
            assertEquals(1, figures.path("watches_silent").asLong(-1));
            assertEquals(1, figures.path("watches").asLong(-1), "the node that reports is still told");
        }
    }

    /** A file of records that is too long is written anew with what counts of it. */
    @Test
    void aLongFileOfRecordsIsWrittenAnew() throws Exception {
        try (Keepers keepers = new Keepers(root, 1, 1, 1, ProtocolParameters.defaults())) {
            Change large = Change.of(id(9), 0, Map.of("realms/a", "\"" + "x".repeat(4_000) + "\""), List.of());
            try (FolderDisk disk = FolderDisk.openForWriting(keepers.folder(0))) {
                KeeperFolder folder = KeeperFolder.open(disk, 0, () -> 1, line -> {});
                while (!folder.isLong()) {
                    folder.write(List.of(new LogRecord.Voted(new Vote(1, new Ballot(1, 0), new Ballot(1, 0), large))));
                }
                folder.write(List.of(new LogRecord.Chosen(
                        new Version(1, Change.of(id(1), 0, Map.of("realms/b", "{\"quotaPerS\":1}"), List.of())))));
                folder.sync();
                folder.close();
            }
            keepers.serving();
            assertTaken(2, Keepers.of(keepers.change(0, id(2), 1, "{\"realms/c\":{\"quotaPerS\":1}}")));
            assertTaken(3, Keepers.of(keepers.change(0, id(3), 2, "{\"realms/d\":{\"quotaPerS\":1}}")));
            keepers.stop(0);
            assertTrue(Files.size(keepers.folder(0).resolve("records")) < 10_000);
            int said = keepers.lines[0].count();
            keepers.start(0, disk -> disk);
            keepers.lines[0].await(said, " serves; version 3");
            assertTaken(4, Keepers.of(keepers.change(0, id(4), 3, "{\"realms/e\":{\"quotaPerS\":1}}")));
        }
    }

    private BufferedReader reader;

    /** Reads a watch up to a version. */
    private void lines(Socket watch, int first, int rev) throws IOException {
        if (first == 1) {
            reader = new BufferedReader(new InputStreamReader(watch.getInputStream(), StandardCharsets.UTF_8));
        }
        String line = "";
        while (!line.startsWith("{\"rev\":" + rev + ",")) {
            line = reader.readLine();
            assertNotNull(line, "the watch that is read has ended");
        }
    }

    // ---------------------------------------------------------------- a whole

    @Test
    void aWholeIsToldInPartsAtThePace() throws Exception {
        SortedMap<String, String> values = new TreeMap<>();
        for (int i = 0; i < 500; i++) {
            values.put(String.format("realms/tenant-%04d", i), "{\"quotaPerS\":" + i + "}");
        }
        try (Keepers keepers = new Keepers(root, 1, 1, 1, ProtocolParameters.defaults())) {
            try (FolderDisk disk = FolderDisk.openForWriting(keepers.folder(0))) {
                KeeperFolder folder = KeeperFolder.open(disk, 0, () -> 1, line -> {});
                folder.write(List.of(new LogRecord.Snapshot(2_000, values)));
                folder.sync();
                folder.close();
            }
            keepers.serving();
            try (Socket watch = keepers.watch(0, 0, 0)) {
                long began = System.nanoTime();
                List<String> lines = lines(watch, 1);
                Json first = Json.read(lines.get(0).getBytes(StandardCharsets.UTF_8));
                int parts = (int) first.path("of").asLong(0);
                assertTrue(parts >= 5, lines.get(0));
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(watch.getInputStream(), StandardCharsets.UTF_8));
                long bytes = lines.get(0).length();
                while (lines.size() < parts) {
                    String line = in.readLine();
                    assertNotNull(line, "the watch ended after " + lines.size() + " parts");
                    if (line.startsWith("{")) {
                        lines.add(line);
                        bytes += line.length();
                    }
                }
                double tookS = (System.nanoTime() - began) / 1e9;
                SortedMap<String, String> told = new TreeMap<>();
                for (int i = 0; i < parts; i++) {
                    Json part = Json.read(lines.get(i).getBytes(StandardCharsets.UTF_8));
                    assertEquals(i + 1, part.path("part").asLong(0));
                    assertEquals(2_000, part.path("rev").asLong(0));
                    part.path("set")
                            .fields()
                            .forEach((path, value) -> told.put(
                                    path,
                                    "{\"quotaPerS\":" + value.path("quotaPerS").asText() + "}"));
                }
                assertEquals(values, told);
                ProtocolParameters terms = ProtocolParameters.defaults();
                assertTrue(
                        bytes <= terms.initialBurstBytes() + terms.burstBytes() + terms.rateBytesPerSecond() * tookS,
                        bytes + " bytes in " + tookS + " s");
            }
            Keepers.Node node = keepers.node(0, 0);
            node.awaitInForce(2_000);
            assertEquals(values, node.values);
        }
    }

    // ---------------------------------------------------------------- bad input

    @Test
    void badCallsAreToldWithPathAndReason() throws Exception {
        try (Keepers keepers = keepers(1, 1, 2)) {
            String[][] bad = {
                {
                    "change",
                    "{\"id\":\"x\",\"base\":-1,\"set\":{\"realms/a/b\":1},\"more\":1}",
                    "400",
                    "\"path\":\"more\"",
                    "\"path\":\"id\"",
                    "\"path\":\"base\"",
                    "\"path\":\"realms/a/b\""
                },
                {"change", "no JSON", "400", "\"path\":\"body\""},
                {
                    "change",
                    change("{\"realms/a\":{\"quotaPerS\":-1}}"),
                    "400",
                    "{\"path\":\"realms/a\",\"reason\":\"quotaPerS is negative\"}"
                },
                {
                    "change",
                    change("{\"classes/get\":{\"giveUpUs\":5},\"limits/none\":1,\"what\":1}"),
                    "400",
                    "{\"path\":\"classes/get\",\"reason\":\"repeat is missing\"}",
                    "\"path\":\"limits/none\"",
                    "\"path\":\"what\""
                },
                {"change", change("{\"realms/a\":\"" + "x".repeat(5_000) + "\"}"), "400", "4096 are allowed"},
                {"change", "x".repeat(20_000), "413", "\"path\":\"body\""},
                {
                    "report",
                    "{\"node\":2,\"life\":1,\"rev\":0,\"waits_restart\":[],\"refused\":[]}",
                    "400",
                    "{\"path\":\"node\",\"reason\":\"is not from 0 to 1\"}"
                },
                {"report", "{\"node\":0,\"life\":\"x\"}", "400", "\"path\":\"life\"", "\"path\":\"rev\""},
                {
                    "prepare",
                    "{\"kind\":\"prepare\",\"rev\":0,\"ballot\":[1]}",
                    "400",
                    "\"path\":\"rev\"",
                    "\"path\":\"ballot\""
                },
                {
                    "accept",
                    "{\"kind\":\"prepare\",\"rev\":1,\"ballot\":[1,0]}",
                    "400",
                    "{\"path\":\"kind\",\"reason\":\"is not accept, as the path is\"}"
                },
                {"chosen", "{}", "400", "\"path\":\"kind\""},
                {"ask", "[]", "400", "\"path\":"},
                {"nothing", "", "404", "\"path\":\"/rollout/nothing\""},
                {"status", "", "405", "is called by GET"},
            };
            for (String[] call : bad) {
                HttpResponse<String> told = Keepers.of(keepers.post(0, "/rollout/" + call[0], call[1]));
                assertEquals(call[2], Integer.toString(told.statusCode()), call[0] + " " + told.body());
                for (int i = 3; i < call.length; i++) {
                    assertTrue(told.body().contains(call[i]), call[i] + " in " + told.body());
                }
            }
            String[][] badGets = {
                {"/rollout/watch", "after", "life", "node"},
                {"/rollout/watch?after=x&node=2&life=1&more=1", "after", "node", "more"},
                {"/rollout/watch?after=1&after=2&node=0&life=1", "after"},
                {"/rollout/status?rev=1", "rev"},
            };
            for (String[] call : badGets) {
                HttpResponse<String> told = keepers.get(0, call[0]);
                assertEquals(400, told.statusCode(), call[0]);
                for (int i = 1; i < call.length; i++) {
                    assertTrue(told.body().contains("\"path\":\"" + call[i] + "\""), told.body());
                }
            }
            HttpResponse<String> ahead = keepers.get(0, "/rollout/watch?after=5&node=0&life=1");
            assertEquals(
                    "503 {\"reason\":\"version 5 is not known here yet\"}", ahead.statusCode() + " " + ahead.body());
            Json status = keepers.status(0, "");
            assertEquals(0, status.path("newest").asLong(-1), "nothing of it was done");
            assertEquals(
                    bad.length + badGets.length,
                    status.path("keeper").path("calls_faulty").asLong(0));
            try (Socket garbage =
                    new Socket(keepers.at(0).getAddress(), keepers.at(0).getPort())) {
                garbage.getOutputStream().write("\1\2\3 what\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                String told = new String(garbage.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertTrue(told.startsWith("HTTP/1.1 400"), told);
            }
        }
    }

    private static String change(String set) {
        return "{\"id\":\"" + id(1) + "\",\"base\":0,\"set\":" + set + "}";
    }

    // ---------------------------------------------------------------- bounds

    @Test
    void watchesBeyondTheMostAreRefused() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        try (Keepers keepers = keepers(1, 1, 1)) {
            for (int i = 0; i < ProtocolParameters.MAX_WATCH_COUNT; i++) {
                sockets.add(keepers.watch(0, 0, 0));
                byte[] head = new byte[15];
                assertEquals(15, sockets.get(i).getInputStream().readNBytes(head, 0, 15));
                assertEquals("HTTP/1.1 200 OK", new String(head, StandardCharsets.US_ASCII));
            }
            HttpResponse<String> told = keepers.get(0, "/rollout/watch?after=0&node=0&life=1");
            assertEquals("503 {\"reason\":\"210 watches are open\"}", told.statusCode() + " " + told.body());
            assertEquals(
                    1,
                    keepers.status(0, "").path("keeper").path("watches_refused").asLong(0));
            sockets.get(0).close();
            long until = System.nanoTime() + 30_000_000_000L;
            while (keepers.status(0, "").path("keeper").path("watches").asLong(0)
                    == ProtocolParameters.MAX_WATCH_COUNT) {
                assertTrue(System.nanoTime() < until, "a watch that has ended makes no room");
            }
            sockets.add(keepers.watch(0, 0, 0));
            assertEquals('H', sockets.get(sockets.size() - 1).getInputStream().read());
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    @Test
    void connectionsBeyondTheMostAreClosedAndSilentOnesEnd() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        try (Keepers keepers = keepers(1, 1, 1)) {
            for (int i = 0; i <= KeeperServer.MOST_CONNECTIONS; i++) {
                sockets.add(new Socket(keepers.at(0).getAddress(), keepers.at(0).getPort()));
            }
            // They are taken in in their order: the last is closed at once, the others as they are silent.
            Socket last = sockets.get(KeeperServer.MOST_CONNECTIONS);
            assertEquals(-1, last.getInputStream().read());
            assertEquals(-1, sockets.get(0).getInputStream().read());
            assertEquals(
                    1,
                    keepers.status(0, "")
                            .path("keeper")
                            .path("connections_turned_away")
                            .asLong(0));
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    @Test
    void changesBeyondTheMostThatWaitAreRefused() throws Exception {
        try (Keepers keepers = keepers(3, 3, 1)) {
            keepers.cutOff(0, true);
            List<CompletableFuture<HttpResponse<String>>> all = new ArrayList<>();
            // One is tried and the most wait; one more finds no room.
            for (int i = 0; i < ProtocolParameters.MAX_QUEUED_CHANGE_COUNT + 2; i++) {
                all.add(keepers.change(0, id(i + 1), 0, "{\"realms/a" + i + "\":{\"quotaPerS\":1}}"));
            }
            HttpResponse<?> first = (HttpResponse<?>) CompletableFuture.anyOf(all.toArray(CompletableFuture[]::new))
                    .get(60, TimeUnit.SECONDS);
            assertEquals("503 {\"reason\":\"16 changes wait\"}", first.statusCode() + " " + first.body());
            assertEquals(
                    1,
                    keepers.status(0, "").path("keeper").path("changes_refused").asLong(0));
        }
    }

    @Test
    void aVoterWhoseDiskFailsAnswersNoMore() throws Exception {
        try (Keepers keepers = new Keepers(root, 3, 3, 1, ProtocolParameters.defaults())) {
            AtomicBoolean broken = new AtomicBoolean();
            for (int k = 0; k < 3; k++) {
                int number = k;
                keepers.start(
                        k,
                        disk -> number == 0
                                ? disk
                                : new HookedDisk(disk, bytes -> {}, () -> {
                                    if (broken.get()) {
                                        throw new IOException("no sync");
                                    }
                                }));
            }
            for (int k = 0; k < 3; k++) {
                keepers.lines[k].await(0, " serves;");
            }
            broken.set(true);
            assertEquals(503, Keepers.of(keepers.change(0, id(1), 0, ACME)).statusCode());
            assertEquals("no sync", keepers.failed.take().getMessage());
            assertEquals("no sync", keepers.failed.take().getMessage());
        }
    }
}
