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

/** Keepers and watchers over real sockets, with partitions, silent peers, stops and failing disks. */
@Timeout(120)
class KeeperTest {
    private static final String ACME = "{\"realms/acme\":{\"quotaPerS\":12.0}}";

    @TempDir
    private Path root;

    private KeeperCluster startCluster(int count, int voting, int nodes) throws Exception {
        return new KeeperCluster(root, count, voting, nodes, ProtocolParameters.defaults()).startAll();
    }

    private static String id(int number) {
        return String.format("%016x", number);
    }

    private static void assertCommitted(long rev, HttpResponse<String> response) {
        assertEquals("200 {\"rev\":" + rev + "}", response.statusCode() + " " + response.body());
    }

    // ---------------------------------------------------------------- changes

    @Test
    void changeReachesAllWatchersAndStatusShowsIt() throws Exception {
        try (KeeperCluster cluster = startCluster(4, 3, 5)) {
            List<KeeperCluster.Node> nodes = new ArrayList<>();
            for (int node = 0; node < 4; node++) {
                nodes.add(cluster.node(node, 0, 1, 2, 3));
            }
            assertCommitted(1, KeeperCluster.join(cluster.change(1, id(1), 0, ACME)));
            for (KeeperCluster.Node node : nodes) {
                node.awaitInForce(1);
                assertEquals("{realms/acme={\"quotaPerS\":12.0}}", node.values.toString());
            }
            // The fifth node was never started. Any keeper knows all nodes, including the keeper that does not vote.
            Json status = cluster.awaitInForce(3, 1, 4);
            assertEquals(
                    "4", status.path("not_heard").path("nodes").values().get(0).asText());
            assertEquals(1, status.path("not_heard").path("count").asLong(-1));
            assertEquals("false", status.path("keeper").path("votes").asText());
            assertEquals(
                    List.of(), status.path("keeper").path("keepers_not_heard").values());
            // Repeating the call does not repeat the change.
            assertCommitted(1, KeeperCluster.join(cluster.change(2, id(1), 0, ACME)));
            assertEquals(1, cluster.status(2, "").path("newest").asLong(0));
        }
    }

    @Test
    void concurrentProposersProduceOneHistory() throws Exception {
        try (KeeperCluster cluster = startCluster(3, 3, 2)) {
            KeeperCluster.Node node = cluster.node(0, 0, 1, 2);
            // Of two changes to the same path, one is rejected as a conflict.
            List<CompletableFuture<HttpResponse<String>>> same = List.of(
                    cluster.change(0, id(1), 0, ACME),
                    cluster.change(1, id(2), 0, "{\"realms/acme\":{\"quotaPerS\":13.0}}"));
            SortedSet<String> outcomes = new TreeSet<>();
            for (CompletableFuture<HttpResponse<String>> call : same) {
                outcomes.add(KeeperCluster.join(call).statusCode() + " "
                        + KeeperCluster.join(call).body());
            }
            assertEquals("[200 {\"rev\":1}, 409 {\"path\":\"realms/acme\",\"rev\":1}]", outcomes.toString());
            // Two changes to different paths are both committed, one after the other. A keeper that has not learned
            // their base yet may answer 503.
            cluster.awaitNewest(0, 1);
            cluster.awaitNewest(2, 1);
            List<CompletableFuture<HttpResponse<String>>> two = List.of(
                    cluster.change(0, id(3), 1, "{\"realms/b\":{\"quotaPerS\":1}}"),
                    cluster.change(2, id(4), 1, "{\"realms/c\":{\"quotaPerS\":2}}"));
            outcomes.clear();
            for (CompletableFuture<HttpResponse<String>> call : two) {
                outcomes.add(KeeperCluster.join(call).statusCode() + " "
                        + KeeperCluster.join(call).body());
            }
            assertEquals("[200 {\"rev\":2}, 200 {\"rev\":3}]", outcomes.toString());
            node.awaitInForce(3);
            assertEquals(
                    "[realms/acme, realms/b, realms/c]", node.values.keySet().toString());
            for (int keeper = 0; keeper < 3; keeper++) {
                try (Socket watch = cluster.watch(keeper, 0, 1)) {
                    List<String> lines = lines(watch, 3);
                    assertTrue(lines.get(0).startsWith("{\"rev\":1,"), lines.get(0));
                    assertTrue(lines.get(2).startsWith("{\"rev\":3,"), lines.get(2));
                }
            }
        }
    }

    // Guards against a change that is lost or decided twice where its keeper is behind: 503 promises that nothing was
    // done, and the same change is committed once the keeper has caught up.
    @Test
    void changeAtKeeperThatHasNotLearnedItsBaseGets503WithoutEffect() throws Exception {
        try (KeeperCluster cluster = startCluster(3, 3, 2)) {
            cluster.isolate(2, true);
            assertCommitted(1, KeeperCluster.join(cluster.change(0, id(1), 0, ACME)));
            HttpResponse<String> behind =
                    KeeperCluster.join(cluster.change(2, id(2), 1, "{\"realms/b\":{\"quotaPerS\":1}}"));
            assertEquals(503, behind.statusCode());
            assertTrue(behind.body().contains("version 1 is not known to this keeper"), behind.body());
            cluster.isolate(2, false);
            cluster.awaitNewest(2, 1);
            assertEquals(1, cluster.status(0, "").path("newest").asLong(-1), "the rejected change has no effect");
            assertCommitted(2, KeeperCluster.join(cluster.change(2, id(2), 1, "{\"realms/b\":{\"quotaPerS\":1}}")));
        }
    }

    /** Reads objects of a watch, without heartbeats and chunk framing. */
    private static List<String> lines(Socket watch, int count) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(watch.getInputStream(), StandardCharsets.UTF_8));
        String status = in.readLine();
        assertEquals("HTTP/1.1 200 OK", status);
        List<String> lines = new ArrayList<>();
        while (lines.size() < count) {
            String line = in.readLine();
            assertNotNull(line, "the watch ended after " + lines);
            if (line.startsWith("{")) {
                lines.add(line);
            }
        }
        return lines;
    }

    // ---------------------------------------------------------------- failures

    @Test
    void voterStoppedBetweenSyncAndResponseKeepsAcceptedChange() throws Exception {
        try (KeeperCluster cluster = new KeeperCluster(root, 3, 3, 2, ProtocolParameters.defaults())) {
            CountDownLatch synced = new CountDownLatch(1);
            CountDownLatch goOn = new CountDownLatch(1);
            AtomicBoolean accepted = new AtomicBoolean();
            cluster.start(0, disk -> disk);
            cluster.start(1, disk -> disk);
            cluster.start(
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
                cluster.logs[k].awaitLine(0, " serves;");
            }
            KeeperCluster.Node node = cluster.node(0, 0);
            cluster.isolate(1, true);
            CompletableFuture<HttpResponse<String>> change = cluster.change(0, id(1), 0, ACME);
            synced.await();
            cluster.keeper(2).stop();
            goOn.countDown();
            cluster.stop(2);
            assertEquals(504, KeeperCluster.join(change).statusCode(), "the outcome is unknown");
            assertTrue(Files.readString(cluster.folder(2).resolve("records")).contains("\"accepted\":"));
            assertTrue(node.revs.isEmpty(), "only one voter of three has accepted");
            cluster.start(2, disk -> disk);
            node.awaitInForce(1);
            assertCommitted(1, KeeperCluster.join(cluster.change(2, id(1), 0, ACME)));
            cluster.isolate(1, false);
            int from = cluster.logs[1].awaitLine(0, "hears no majority");
            cluster.logs[1].awaitLine(from, " serves;");
            assertCommitted(1, KeeperCluster.join(cluster.change(1, id(1), 0, ACME)));
        }
    }

    @Test
    void voterWithEmptyFolderLearnsButDoesNotVote() throws Exception {
        try (KeeperCluster cluster = startCluster(3, 3, 1)) {
            assertCommitted(1, KeeperCluster.join(cluster.change(0, id(1), 0, ACME)));
            String identity = cluster.keeper(2).voter().identity();
            cluster.stop(2);
            Files.delete(cluster.folder(2).resolve("records"));
            int lineCount = cluster.logs[2].count();
            cluster.start(2, disk -> disk);
            cluster.logs[2].awaitLine(lineCount, " serves; version 1");
            Json keeper = cluster.status(2, "").path("keeper");
            assertEquals("false", keeper.path("votes").asText());
            assertTrue(!keeper.path("identity").asText().equals(identity));
            // Two of three voters are left; without one of them there is no majority.
            assertCommitted(2, KeeperCluster.join(cluster.change(2, id(2), 1, "{\"realms/b\":{\"quotaPerS\":1}}")));
            cluster.stop(1);
            assertEquals(
                    503,
                    KeeperCluster.join(cluster.change(0, id(3), 2, "{\"realms/c\":{\"quotaPerS\":1}}"))
                            .statusCode());
        }
    }

    @Test
    void partitionedKeeperReportsLostQuorumAndOthersContinue() throws Exception {
        try (KeeperCluster cluster = startCluster(3, 3, 3)) {
            KeeperCluster.Node node = cluster.node(0, 0, 1, 2);
            try (Socket watch = cluster.watch(0, 0, 1)) {
                cluster.isolate(0, true);
                assertEquals("{\"rev\":0,\"alone\":true}", lines(watch, 1).get(0));
                HttpResponse<String> refused = KeeperCluster.join(cluster.change(0, id(1), 0, ACME));
                assertEquals(
                        "503 {\"reason\":\"no majority of the voters agreed in time\"}",
                        refused.statusCode() + " " + refused.body());
                assertCommitted(1, KeeperCluster.join(cluster.change(1, id(2), 0, "{\"realms/b\":{\"quotaPerS\":1}}")));
                node.awaitInForce(1);
                assertEquals("[realms/b]", node.values.keySet().toString());
                Json status = cluster.awaitInForce(1, 1, 1);
                assertEquals(
                        "0",
                        status.path("keeper")
                                .path("keepers_not_heard")
                                .values()
                                .get(0)
                                .asText());
                cluster.isolate(0, false);
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
    void nodeSwitchesToAnotherKeeperWhenItsOwnFallsSilent() throws Exception {
        try (KeeperCluster cluster = startCluster(3, 3, 1)) {
            KeeperCluster.Node node = cluster.node(0, 0, 1);
            int lineCount = node.log.awaitLine(0, "told all");
            cluster.nodeLinks(0).cut();
            cluster.nodeLinks(1).cut();
            lineCount = node.log.awaitLine(lineCount, "no keeper is watched");
            assertCommitted(1, KeeperCluster.join(cluster.change(2, id(1), 0, ACME)));
            assertTrue(node.revs.isEmpty());
            cluster.nodeLinks(1).join();
            node.awaitInForce(1);
            cluster.awaitInForce(2, 1, 1);
        }
    }

    @Test
    void unreadWatchIsClosed() throws Exception {
        ProtocolParameters defaults = ProtocolParameters.defaults();
        // At the default rate limit it would take minutes to reach the bound on unwritten bytes.
        ProtocolParameters fast = new ProtocolParameters(
                defaults.heartbeatIntervalUs(),
                defaults.minWatchTimeoutUs(),
                defaults.maxWatchTimeoutUs(),
                defaults.connectTimeoutUs(),
                defaults.minBackoffUs(),
                defaults.initialMaxBackoffUs(),
                defaults.maxBackoffUs(),
                defaults.noQuorumRetryUs(),
                defaults.reportIntervalUs(),
                defaults.reportTimeoutUs(),
                defaults.minPhaseTimeoutUs(),
                defaults.maxPhaseTimeoutUs(),
                defaults.maxBallots(),
                defaults.proposalTimeoutUs(),
                defaults.fetchIntervalUs(),
                defaults.voterTimeoutUs(),
                defaults.recoveryDelayUs(),
                1 << 30,
                1 << 20,
                1 << 20,
                defaults.snapshotPartBytes());
        try (KeeperCluster cluster = new KeeperCluster(root, 1, 1, 2, fast).startAll();
                Socket unread = cluster.watch(0, 0, 0);
                Socket read = cluster.watch(0, 0, 1)) {
            StringBuilder set = new StringBuilder("{");
            for (int i = 0; i < 100; i++) {
                set.append(i == 0 ? "" : ",")
                        .append("\"realms/tenant-")
                        .append(i)
                        .append("\":{\"quotaPerS\":%d}");
            }
            set.append('}');
            int rev = 0;
            while (cluster.status(0, "").path("keeper").path("watches_unread").asLong(0) == 0) {
                assertTrue(rev < 1_000, "the unread watch is never closed");
                assertCommitted(
                        rev + 1,
                        KeeperCluster.join(cluster.change(
                                0, id(rev + 1), rev, set.toString().replace("%d", Integer.toString(rev + 1)))));
                rev++;
                lines(read, rev == 1 ? 1 : 0, rev);
            }
            assertEquals(1, cluster.status(0, "").path("keeper").path("watches").asLong(-1));
            assertTrue(unread.getInputStream().readAllBytes().length > 0, "the events sent before the close arrive");
        }
    }

    @Test
    void watchOfNodeThatDoesNotReportIsClosed() throws Exception {
        ProtocolParameters defaults = ProtocolParameters.defaults();
        ProtocolParameters impatient = new ProtocolParameters(
                defaults.heartbeatIntervalUs(),
                defaults.minWatchTimeoutUs(),
                defaults.maxWatchTimeoutUs(),
                defaults.connectTimeoutUs(),
                defaults.minBackoffUs(),
                defaults.initialMaxBackoffUs(),
                defaults.maxBackoffUs(),
                defaults.noQuorumRetryUs(),
                defaults.reportIntervalUs() / 10,
                defaults.reportTimeoutUs() / 10,
                defaults.minPhaseTimeoutUs(),
                defaults.maxPhaseTimeoutUs(),
                defaults.maxBallots(),
                defaults.proposalTimeoutUs(),
                defaults.fetchIntervalUs(),
                defaults.voterTimeoutUs(),
                defaults.recoveryDelayUs(),
                defaults.rateBytesPerSecond(),
                defaults.burstBytes(),
                defaults.initialBurstBytes(),
                defaults.snapshotPartBytes());
        try (KeeperCluster cluster = new KeeperCluster(root, 1, 1, 2, impatient).startAll();
                Socket silentWatch = cluster.watch(0, 0, 1)) {
            KeeperCluster.Node node = cluster.node(0, 0);
            node.log.awaitLine(0, "told all");
            assertTrue(silentWatch.getInputStream().readAllBytes().length > 0, "the watch is closed");
            Json counters = cluster.status(0, "").path("keeper");
            assertEquals(1, counters.path("watches_silent").asLong(-1));
            assertEquals(1, counters.path("watches").asLong(-1), "the watch of the reporting node stays open");
        }
    }

    /** An oversized records file is rewritten with the records that are still needed. */
    @Test
    void oversizedRecordsFileIsRewritten() throws Exception {
        try (KeeperCluster cluster = new KeeperCluster(root, 1, 1, 1, ProtocolParameters.defaults())) {
            Change large = Change.of(id(9), 0, Map.of("realms/a", "\"" + "x".repeat(4_000) + "\""), List.of());
            try (FolderDisk disk = FolderDisk.openForWriting(cluster.folder(0))) {
                KeeperFolder folder = KeeperFolder.open(disk, 0, () -> 1, line -> {});
                while (!folder.isOversized()) {
                    folder.append(List.of(new LogRecord.Voted(new Vote(1, new Ballot(1, 0), new Ballot(1, 0), large))));
                }
                folder.append(List.of(new LogRecord.Chosen(
                        new Version(1, Change.of(id(1), 0, Map.of("realms/b", "{\"quotaPerS\":1}"), List.of())))));
                folder.sync();
                folder.close();
            }
            cluster.startAll();
            assertCommitted(2, KeeperCluster.join(cluster.change(0, id(2), 1, "{\"realms/c\":{\"quotaPerS\":1}}")));
            assertCommitted(3, KeeperCluster.join(cluster.change(0, id(3), 2, "{\"realms/d\":{\"quotaPerS\":1}}")));
            cluster.stop(0);
            assertTrue(Files.size(cluster.folder(0).resolve("records")) < 10_000);
            int lineCount = cluster.logs[0].count();
            cluster.start(0, disk -> disk);
            cluster.logs[0].awaitLine(lineCount, " serves; version 3");
            assertCommitted(4, KeeperCluster.join(cluster.change(0, id(4), 3, "{\"realms/e\":{\"quotaPerS\":1}}")));
        }
    }

    private BufferedReader reader;

    /** Reads a watch up to a version. The first call opens the reader. */
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

    // ---------------------------------------------------------------- snapshots

    @Test
    void snapshotIsSentInPartsWithinRateLimit() throws Exception {
        SortedMap<String, String> values = new TreeMap<>();
        for (int i = 0; i < 500; i++) {
            values.put(String.format("realms/tenant-%04d", i), "{\"quotaPerS\":" + i + "}");
        }
        try (KeeperCluster cluster = new KeeperCluster(root, 1, 1, 1, ProtocolParameters.defaults())) {
            try (FolderDisk disk = FolderDisk.openForWriting(cluster.folder(0))) {
                KeeperFolder folder = KeeperFolder.open(disk, 0, () -> 1, line -> {});
                folder.append(List.of(new LogRecord.Snapshot(2_000, values)));
                folder.sync();
                folder.close();
            }
            cluster.startAll();
            try (Socket watch = cluster.watch(0, 0, 0)) {
                long startNanos = System.nanoTime();
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
                double tookS = (System.nanoTime() - startNanos) / 1e9;
                SortedMap<String, String> received = new TreeMap<>();
                for (int i = 0; i < parts; i++) {
                    Json part = Json.read(lines.get(i).getBytes(StandardCharsets.UTF_8));
                    assertEquals(i + 1, part.path("part").asLong(0));
                    assertEquals(2_000, part.path("rev").asLong(0));
                    part.path("set")
                            .fields()
                            .forEach((path, value) -> received.put(
                                    path,
                                    "{\"quotaPerS\":" + value.path("quotaPerS").asText() + "}"));
                }
                assertEquals(values, received);
                ProtocolParameters parameters = ProtocolParameters.defaults();
                assertTrue(
                        bytes
                                <= parameters.initialBurstBytes()
                                        + parameters.burstBytes()
                                        + parameters.rateBytesPerSecond() * tookS,
                        bytes + " bytes in " + tookS + " s");
            }
            KeeperCluster.Node node = cluster.node(0, 0);
            node.awaitInForce(2_000);
            assertEquals(values, node.values);
        }
    }

    // ---------------------------------------------------------------- invalid input

    @Test
    void invalidCallsAreRejectedWithPathAndReason() throws Exception {
        try (KeeperCluster cluster = startCluster(1, 1, 2)) {
            String[][] badPosts = {
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
                    "{\"path\":\"kind\",\"reason\":\"is not accept, as the path requires\"}"
                },
                {"chosen", "{}", "400", "\"path\":\"kind\""},
                {"ask", "[]", "400", "\"path\":"},
                {"nothing", "", "404", "\"path\":\"/rollout/nothing\""},
                {"status", "", "405", "must be called with GET"},
            };
            for (String[] call : badPosts) {
                HttpResponse<String> response = KeeperCluster.join(cluster.post(0, "/rollout/" + call[0], call[1]));
                assertEquals(call[2], Integer.toString(response.statusCode()), call[0] + " " + response.body());
                for (int i = 3; i < call.length; i++) {
                    assertTrue(response.body().contains(call[i]), call[i] + " in " + response.body());
                }
            }
            String[][] badGets = {
                {"/rollout/watch", "after", "life", "node"},
                {"/rollout/watch?after=x&node=2&life=1&more=1", "after", "node", "more"},
                {"/rollout/watch?after=1&after=2&node=0&life=1", "after"},
                {"/rollout/status?rev=1", "rev"},
            };
            for (String[] call : badGets) {
                HttpResponse<String> response = cluster.get(0, call[0]);
                assertEquals(400, response.statusCode(), call[0]);
                for (int i = 1; i < call.length; i++) {
                    assertTrue(response.body().contains("\"path\":\"" + call[i] + "\""), response.body());
                }
            }
            HttpResponse<String> aheadResponse = cluster.get(0, "/rollout/watch?after=5&node=0&life=1");
            assertEquals(
                    "503 {\"reason\":\"version 5 is not known here yet\"}",
                    aheadResponse.statusCode() + " " + aheadResponse.body());
            Json status = cluster.status(0, "");
            assertEquals(0, status.path("newest").asLong(-1), "no call has an effect");
            assertEquals(
                    badPosts.length + badGets.length,
                    status.path("keeper").path("calls_faulty").asLong(0));
            try (Socket garbage = new Socket(
                    cluster.addresses(0).getAddress(), cluster.addresses(0).getPort())) {
                garbage.getOutputStream().write("\1\2\3 what\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                String response = new String(garbage.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertTrue(response.startsWith("HTTP/1.1 400"), response);
            }
        }
    }

    private static String change(String set) {
        return "{\"id\":\"" + id(1) + "\",\"base\":0,\"set\":" + set + "}";
    }

    // ---------------------------------------------------------------- limits

    @Test
    void watchesBeyondMaximumAreRejected() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        try (KeeperCluster cluster = startCluster(1, 1, 1)) {
            for (int i = 0; i < ProtocolParameters.MAX_WATCH_COUNT; i++) {
                sockets.add(cluster.watch(0, 0, 0));
                byte[] head = new byte[15];
                assertEquals(15, sockets.get(i).getInputStream().readNBytes(head, 0, 15));
                assertEquals("HTTP/1.1 200 OK", new String(head, StandardCharsets.US_ASCII));
            }
            HttpResponse<String> response = cluster.get(0, "/rollout/watch?after=0&node=0&life=1");
            assertEquals("503 {\"reason\":\"210 watches are open\"}", response.statusCode() + " " + response.body());
            assertEquals(
                    1,
                    cluster.status(0, "").path("keeper").path("watches_refused").asLong(0));
            sockets.get(0).close();
            long until = System.nanoTime() + 30_000_000_000L;
            while (cluster.status(0, "").path("keeper").path("watches").asLong(0)
                    == ProtocolParameters.MAX_WATCH_COUNT) {
                assertTrue(System.nanoTime() < until, "an ended watch frees no slot");
            }
            sockets.add(cluster.watch(0, 0, 0));
            assertEquals('H', sockets.get(sockets.size() - 1).getInputStream().read());
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    @Test
    void excessConnectionsAndSilentConnectionsAreClosed() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        try (KeeperCluster cluster = startCluster(1, 1, 1)) {
            for (int i = 0; i <= KeeperServer.MAX_CONNECTION_COUNT; i++) {
                sockets.add(new Socket(
                        cluster.addresses(0).getAddress(), cluster.addresses(0).getPort()));
            }
            // Connections are accepted in order: the last is closed at once, the others because they stay silent.
            Socket last = sockets.get(KeeperServer.MAX_CONNECTION_COUNT);
            assertEquals(-1, last.getInputStream().read());
            assertEquals(-1, sockets.get(0).getInputStream().read());
            assertEquals(
                    1,
                    cluster.status(0, "")
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
    void changesBeyondQueueLimitAreRejected() throws Exception {
        try (KeeperCluster cluster = startCluster(3, 3, 1)) {
            cluster.isolate(0, true);
            List<CompletableFuture<HttpResponse<String>>> all = new ArrayList<>();
            // One change is proposed and the queue holds the maximum; one more is rejected.
            for (int i = 0; i < ProtocolParameters.MAX_QUEUED_CHANGE_COUNT + 2; i++) {
                all.add(cluster.change(0, id(i + 1), 0, "{\"realms/a" + i + "\":{\"quotaPerS\":1}}"));
            }
            HttpResponse<?> first = (HttpResponse<?>) CompletableFuture.anyOf(all.toArray(CompletableFuture[]::new))
                    .get(60, TimeUnit.SECONDS);
            assertEquals("503 {\"reason\":\"16 changes wait\"}", first.statusCode() + " " + first.body());
            assertEquals(
                    1,
                    cluster.status(0, "").path("keeper").path("changes_refused").asLong(0));
        }
    }

    @Test
    void voterWithFailedDiskStopsResponding() throws Exception {
        try (KeeperCluster cluster = new KeeperCluster(root, 3, 3, 1, ProtocolParameters.defaults())) {
            AtomicBoolean broken = new AtomicBoolean();
            for (int k = 0; k < 3; k++) {
                int number = k;
                cluster.start(
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
                cluster.logs[k].awaitLine(0, " serves;");
            }
            broken.set(true);
            assertEquals(
                    503, KeeperCluster.join(cluster.change(0, id(1), 0, ACME)).statusCode());
            assertEquals("no sync", cluster.failures.take().getMessage());
            assertEquals("no sync", cluster.failures.take().getMessage());
        }
    }
}
