package kitemux.mysql;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import kitemux.ServiceQBalancer;
import kitemux.engine.Engine;
import kitemux.engine.Log;
import kitemux.engine.Observer;
import kitemux.engine.ResponseSink;
import kitemux.engine.SendGate;
import kitemux.mysql.ResponseTracker.ResponseType;
import kitemux.net.EventLoopClock;
import kitemux.net.HostList;
import kitemux.net.NioNetwork;
import kitemux.net.SelectorLoop;
import kitemux.net.ServerPool;
import kitemux.net.ServerResponse;
import kitemux.net.SocketBudget;
import kitemux.standin.OrderDatabase;
import kitemux.standin.OrderDatabase.Fault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Commands through the engine, the decision module and the connection pool to servers that fail at scripted
 * moments.
 */
class MysqlServerProtocolTest {
    private static final int SAFE = 0;
    private static final int NEVER_TWICE = 1;
    private static final String NATIVE = "mysql_native_password";
    private static final String INSERT = "INSERT INTO orders (id, school) VALUES ('o', 's')";
    /** Enough requests that each of two servers gets some of them, whatever the seed. */
    private static final int REQUEST_COUNT = 12;

    private final SelectorLoop loop = SelectorLoop.open();
    private final List<OrderDatabase> databases = new ArrayList<>();
    private final List<String> logLines = new ArrayList<>();
    private Engine<Command, ServerResponse> engine;
    private ServerPool<Command, ServerResponse> pool;
    private int requestCount;

    @AfterEach
    void close() throws Exception {
        for (OrderDatabase database : databases) {
            database.close();
        }
        loop.parent().shutdownGracefully(0, 20, TimeUnit.SECONDS).sync();
    }

    /** Records the single response to a client and counts its bytes. */
    private static final class RecordingClient implements ResponseSink<ServerResponse> {
        private final CompletableFuture<String> outcome = new CompletableFuture<>();
        private final List<Integer> firstBytes = new ArrayList<>();
        private long bytes;
        private boolean started;

        private void recordPackets(byte[] packets) {
            if (bytes == 0) {
                firstBytes.add(packets[PacketDecoder.HEADER_BYTES] & 0xff);
            }
            bytes += packets.length;
        }

        @Override
        public void onResponseStarted(ServerResponse response) {
            assertFalse(started, "a response starts only once");
            started = true;
            response.streamTo(packets -> {
                byte[] copy = new byte[packets.readableBytes()];
                packets.readBytes(copy);
                packets.release();
                recordPackets(copy);
            });
        }

        @Override
        public void onServed(ServerResponse response) {
            if (response != null) {
                recordPackets(response.body());
            }
            reportOutcome("served");
        }

        @Override
        public void onRefused(long retryAfterUs) {
            reportOutcome("refused");
        }

        @Override
        public void onFailed() {
            reportOutcome("failed");
        }

        @Override
        public void onInternalError() {
            reportOutcome("broken");
        }

        private void reportOutcome(String result) {
            assertTrue(outcome.complete(result), "a request has only one outcome");
        }

        String get() throws Exception {
            return outcome.get(20, TimeUnit.SECONDS);
        }
    }

    /** Starts an engine with this number of servers, listed as s0, s1 and so on. */
    private void start(int serverCount) throws Exception {
        Settings settings = new Settings();
        settings.zones.add("here");
        for (RetrySafety retrySafety : List.of(RetrySafety.SAFE, RetrySafety.UNSAFE)) {
            settings.classes.add(
                    new RequestClass(retrySafety.name(), 1_000_000, 0, 5_000_000, 1, 0, retrySafety, null, 0, false));
        }
        settings.maxAttempts = 4;
        settings.cancellationAllowed = true;
        settings.connectTimeoutUs = 5_000_000;
        EventLoopClock time = EventLoopClock.of(loop);
        Log log = new Log() {
            @Override
            public void info(String text) {
                logLines.add(text);
            }

            @Override
            public void error(String what, Throwable cause) {
                logLines.add(what + ": " + cause);
            }
        };
        pool = new ServerPool<>(
                loop,
                NioNetwork.SYSTEM,
                new SocketBudget(256),
                time,
                settings.connectTimeoutUs,
                60_000_000,
                new MysqlServerProtocol(
                        new BackendConnection.Account(OrderDatabase.USER, OrderDatabase.PASSWORD, ""), log));
        engine = new Engine<>(
                settings.maxAttempts,
                time,
                pool,
                () -> {},
                Observer.NONE,
                SendGate.alwaysOpen(),
                log,
                actions -> new ServiceQBalancer(settings, 7, actions));
        List<HostList.Host> hosts = new ArrayList<>();
        for (int i = 0; i < serverCount; i++) {
            OrderDatabase database = OrderDatabase.start(NATIVE, null);
            databases.add(database);
            hosts.add(new HostList.Host(new ServerEntry("s" + i, 0, 0, ServerState.READY, 1, 0), database.address()));
        }
        HostList list = new HostList(1, true, hosts);
        loop.submit(() -> engine.updateServers(ListKind.FULL, list.entries(), () -> pool.update(list)))
                .sync();
    }

    private RecordingClient send(int classIndex, String sql) {
        byte[] text = sql.getBytes(StandardCharsets.UTF_8);
        byte[] payload = new byte[1 + text.length];
        payload[0] = 3;
        System.arraycopy(text, 0, payload, 1, text.length);
        Command command =
                new Command("c" + ++requestCount, classIndex, -1, 4_000_000, ResponseType.RESULT_SETS, payload);
        RecordingClient client = new RecordingClient();
        loop.execute(() -> engine.dispatch(engine.accept(client, command)));
        return client;
    }

    private int inserts() {
        return databases.stream().mapToInt(database -> database.inserts("o")).sum();
    }

    private int logins() {
        return databases.stream().mapToInt(OrderDatabase::logins).sum();
    }

    @Test
    void sequentialCommandsShareOneConnection() throws Exception {
        start(1);
        for (int i = 1; i <= REQUEST_COUNT; i++) {
            RecordingClient insert = send(NEVER_TWICE, INSERT);
            assertEquals("served", insert.get());
            assertEquals(List.of(0), insert.firstBytes, "header of an OK packet");
            assertEquals(i, inserts());
            RecordingClient rows = send(SAFE, "SELECT 1000 ROWS");
            assertEquals("served", rows.get());
            assertTrue(rows.started && rows.bytes > 1_000, "rows were received");
        }
        assertEquals(1, logins());
    }

    @Test
    void statementErrorIsTheResponseAndIsNotRetried() throws Exception {
        start(2);
        AtomicInteger attemptCount = new AtomicInteger();
        for (OrderDatabase database : databases) {
            database.setScript(sql -> {
                attemptCount.incrementAndGet();
                return new Fault.Error(1062, "23000", "Duplicate entry");
            });
        }
        for (int i = 1; i <= REQUEST_COUNT; i++) {
            RecordingClient client = send(i % 2, i % 2 == NEVER_TWICE ? INSERT : "SELECT 1 ROWS");
            assertEquals("served", client.get());
            assertEquals(List.of(0xff), client.firstBytes, "header of an ERR packet");
            assertEquals(i, attemptCount.get());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1053, 1290, 1226})
    void serverErrorRetriesReadsButNotWrites(int code) throws Exception {
        start(2);
        databases.get(0).setScript(sql -> new Fault.Error(code, "08S01", "not here"));
        int failedCount = 0;
        for (int i = 0; i < REQUEST_COUNT; i++) {
            assertEquals("served", send(SAFE, "SELECT 1 ROWS").get());
            // A write may have run in spite of the error.
            failedCount += send(NEVER_TWICE, INSERT).get().equals("failed") ? 1 : 0;
        }
        assertTrue(failedCount > 0, "the failing server got some requests");
        assertEquals(REQUEST_COUNT - failedCount, inserts());
    }

    /** The OK packet has 11 bytes with its header; only the last one completes it. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void truncatedResponseRetriesReadsButNotWrites(int bytes) throws Exception {
        start(2);
        AtomicInteger attemptCount = new AtomicInteger();
        for (OrderDatabase database : databases) {
            database.setScript(sql -> {
                attemptCount.incrementAndGet();
                return new Fault.CutOff(Long.MAX_VALUE, bytes);
            });
        }
        assertEquals("failed", send(NEVER_TWICE, INSERT).get());
        assertEquals(1, attemptCount.get());
        assertEquals(1, inserts(), "the connection dropped between commit and OK");
        // A read whose first packet is truncated: the column count has 5 bytes with its header.
        databases.get(0).setScript(sql -> {
            attemptCount.incrementAndGet();
            return new Fault.CutOff(Long.MAX_VALUE, bytes % 5);
        });
        databases.get(1).setScript(sql -> new Fault.None());
        for (int i = 0; i < REQUEST_COUNT; i++) {
            assertEquals("served", send(SAFE, "SELECT 3 ROWS").get());
        }
        assertTrue(attemptCount.get() > 1, "the failing server got some requests");
    }

    @Test
    void truncatedRowsAreNotRetriedOnceStreamed() throws Exception {
        start(2);
        for (int packetIndex = 1; packetIndex < 6; packetIndex++) {
            int packets = packetIndex;
            AtomicInteger attemptCount = new AtomicInteger();
            for (OrderDatabase database : databases) {
                database.setScript(sql -> {
                    attemptCount.incrementAndGet();
                    return new Fault.CutOff(packets, Long.MAX_VALUE);
                });
            }
            RecordingClient rows = send(SAFE, "SELECT 3 ROWS");
            assertEquals("failed", rows.get(), "truncated after packet " + packetIndex);
            assertTrue(rows.started);
            assertEquals(1, attemptCount.get());
        }
    }

    @Test
    void unreachableServerRefusesTheCommand() throws Exception {
        start(1);
        databases.get(0).close();
        assertEquals("refused", send(NEVER_TWICE, INSERT).get());
        assertEquals(0, inserts());
    }
}
