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

/** Commands through the engine, the decision module and the pool to servers that fail at scripted moments. */
class MysqlServersTest {
    private static final int SAFE = 0;
    private static final int NEVER_TWICE = 1;
    private static final String NATIVE = "mysql_native_password";
    private static final String INSERT = "INSERT INTO orders (id, school) VALUES ('o', 's')";
    /** So many that each of two servers gets some of them, whatever the seed. */
    private static final int ASKED = 12;

    private final SelectorLoop loop = SelectorLoop.open();
    private final List<OrderDatabase> databases = new ArrayList<>();
    private final List<String> lines = new ArrayList<>();
    private Engine<Command, ServerResponse> engine;
    private ServerPool<Command, ServerResponse> pool;
    private int asked;

    @AfterEach
    void close() throws Exception {
        for (OrderDatabase database : databases) {
            database.close();
        }
        loop.parent().shutdownGracefully(0, 20, TimeUnit.SECONDS).sync();
    }

    /** What a client was told; one answer, and its bytes. */
    private static final class Told implements ResponseSink<ServerResponse> {
        private final CompletableFuture<String> end = new CompletableFuture<>();
        private final List<Integer> firstBytes = new ArrayList<>();
        private long bytes;
        private boolean begun;

        private void see(byte[] packets) {
            if (bytes == 0) {
                firstBytes.add(packets[PacketDecoder.HEADER_BYTES] & 0xff);
            }
            bytes += packets.length;
        }

        @Override
        public void onResponseStarted(ServerResponse answer) {
            assertFalse(begun, "begun once");
            begun = true;
            answer.streamTo(packets -> {
                byte[] copy = new byte[packets.readableBytes()];
                packets.readBytes(copy);
                packets.release();
                see(copy);
            });
        }

        @Override
        public void onServed(ServerResponse answer) {
            if (answer != null) {
                see(answer.body());
            }
            tell("served");
        }

        @Override
        public void onRefused(long retryAfterUs) {
            tell("refused");
        }

        @Override
        public void onFailed() {
            tell("failed");
        }

        @Override
        public void onInternalError() {
            tell("broken");
        }

        private void tell(String what) {
            assertTrue(end.complete(what), "one answer");
        }

        String get() throws Exception {
            return end.get(20, TimeUnit.SECONDS);
        }
    }

    /** Servers s0, s1, ... on the list; a port that is 0 has nobody behind it. */
    private void start(int servers) throws Exception {
        Settings settings = new Settings();
        settings.zones.add("here");
        for (RetrySafety repeat : List.of(RetrySafety.SAFE, RetrySafety.UNSAFE)) {
            settings.classes.add(
                    new RequestClass(repeat.name(), 1_000_000, 0, 5_000_000, 1, 0, repeat, null, 0, false));
        }
        settings.maxAttempts = 4;
        settings.cancellationAllowed = true;
        settings.connectTimeoutUs = 5_000_000;
        EventLoopClock time = EventLoopClock.of(loop);
        Log log = new Log() {
            @Override
            public void info(String text) {
                lines.add(text);
            }

            @Override
            public void error(String what, Throwable cause) {
                lines.add(what + ": " + cause);
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
        for (int i = 0; i < servers; i++) {
            OrderDatabase database = OrderDatabase.start(NATIVE, null);
            databases.add(database);
            hosts.add(new HostList.Host(new ServerEntry("s" + i, 0, 0, ServerState.READY, 1, 0), database.address()));
        }
        HostList list = new HostList(1, true, hosts);
        loop.submit(() -> engine.updateServers(ListKind.FULL, list.entries(), () -> pool.update(list)))
                .sync();
    }

    private Told ask(int classIndex, String sql) {
        byte[] text = sql.getBytes(StandardCharsets.UTF_8);
        byte[] payload = new byte[1 + text.length];
        payload[0] = 3;
        System.arraycopy(text, 0, payload, 1, text.length);
        Command command = new Command("c" + ++asked, classIndex, -1, 4_000_000, ResponseType.RESULT_SETS, payload);
        Told told = new Told();
        loop.execute(() -> engine.dispatch(engine.accept(told, command)));
        return told;
    }

    private int inserts() {
        return databases.stream().mapToInt(database -> database.inserts("o")).sum();
    }

    private int logins() {
        return databases.stream().mapToInt(OrderDatabase::logins).sum();
    }

    @Test
    void oneAfterTheOtherGoOverOneConnectionThatLogsInOnce() throws Exception {
        start(1);
        for (int i = 1; i <= ASKED; i++) {
            Told insert = ask(NEVER_TWICE, INSERT);
            assertEquals("served", insert.get());
            assertEquals(List.of(0), insert.firstBytes, "an OK");
            assertEquals(i, inserts());
            Told rows = ask(SAFE, "SELECT 1000 ROWS");
            assertEquals("served", rows.get());
            assertTrue(rows.begun && rows.bytes > 1_000, "rows came");
        }
        assertEquals(1, logins());
    }

    @Test
    void anErrorAboutAStatementIsItsAnswerAndTriedNowhereElse() throws Exception {
        start(2);
        AtomicInteger tries = new AtomicInteger();
        for (OrderDatabase database : databases) {
            database.script(sql -> {
                tries.incrementAndGet();
                return new Fault.Error(1062, "23000", "Duplicate entry");
            });
        }
        for (int i = 1; i <= ASKED; i++) {
            Told told = ask(i % 2, i % 2 == NEVER_TWICE ? INSERT : "SELECT 1 ROWS");
            assertEquals("served", told.get());
            assertEquals(List.of(0xff), told.firstBytes, "an ERR");
            assertEquals(i, tries.get());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1053, 1290, 1226})
    void anErrorAboutTheServerPassesAReadOnAndNoWrite(int code) throws Exception {
        start(2);
        databases.get(0).script(sql -> new Fault.Error(code, "08S01", "not here"));
        int failed = 0;
        for (int i = 0; i < ASKED; i++) {
            assertEquals("served", ask(SAFE, "SELECT 1 ROWS").get());
            // With its error it may have run all the same.
            failed += ask(NEVER_TWICE, INSERT).get().equals("failed") ? 1 : 0;
        }
        assertTrue(failed > 0, "the bad one got some");
        assertEquals(ASKED - failed, inserts());
    }

    /** The OK has 11 bytes with its header; the last of them ends it. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void aWriteWhoseAnswerBreaksOffIsNeverSentTwiceAndAReadIsServedElsewhere(int bytes) throws Exception {
        start(2);
        AtomicInteger tries = new AtomicInteger();
        for (OrderDatabase database : databases) {
            database.script(sql -> {
                tries.incrementAndGet();
                return new Fault.BreakOff(Long.MAX_VALUE, bytes);
            });
        }
        assertEquals("failed", ask(NEVER_TWICE, INSERT).get());
        assertEquals(1, tries.get());
        assertEquals(1, inserts(), "the drop fell between commit and OK");
        // A read whose first packet never came whole: the count of columns has 5 bytes with its header.
        databases.get(0).script(sql -> {
            tries.incrementAndGet();
            return new Fault.BreakOff(Long.MAX_VALUE, bytes % 5);
        });
        databases.get(1).script(sql -> new Fault.None());
        for (int i = 0; i < ASKED; i++) {
            assertEquals("served", ask(SAFE, "SELECT 3 ROWS").get());
        }
        assertTrue(tries.get() > 1, "the bad one got some");
    }

    @Test
    void rowsThatBreakOffOnceTheyArePassedOnAreTriedNowhereElse() throws Exception {
        start(2);
        for (int at = 1; at < 6; at++) {
            int packets = at;
            AtomicInteger tries = new AtomicInteger();
            for (OrderDatabase database : databases) {
                database.script(sql -> {
                    tries.incrementAndGet();
                    return new Fault.BreakOff(packets, Long.MAX_VALUE);
                });
            }
            Told rows = ask(SAFE, "SELECT 3 ROWS");
            assertEquals("failed", rows.get(), "behind packet " + at);
            assertTrue(rows.begun);
            assertEquals(1, tries.get());
        }
    }

    @Test
    void whereNobodyListensNothingRanAndTheRefusalSaysSo() throws Exception {
        start(1);
        databases.get(0).close();
        assertEquals("refused", ask(NEVER_TWICE, INSERT).get());
        assertEquals(0, inserts());
    }
}
