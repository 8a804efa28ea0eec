package kitemux.mysql;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import kitemux.Balancer.Result;
import kitemux.mysql.BackendConnection.Account;
import kitemux.mysql.ResponseTracker.ResponseType;
import kitemux.standin.OrderDatabase;
import kitemux.standin.OrderDatabase.Fault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A connection to a server that drops, breaks off and misnumbers at scripted moments. */
class BackConnectionTest {
    private static final String NATIVE = "mysql_native_password";
    private static final String SHA2 = "caching_sha2_password";
    private static final String INSERT = "INSERT INTO orders (id, school) VALUES ('o', 's')";
    private static EventLoopGroup loops;

    private OrderDatabase database;

    @BeforeAll
    static void begin() {
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterAll
    static void end() throws Exception {
        loops.shutdownGracefully(0, 20, TimeUnit.SECONDS).sync();
    }

    @AfterEach
    void close() throws Exception {
        database.close();
    }

    /** What came of a login or a command. */
    private static final class Outcome implements BackendConnection.ResponseListener {
        private final CompletableFuture<Result> result = new CompletableFuture<>();
        private ErrPacket error;
        private boolean begun;
        private boolean wanted = true;
        private long bytes;
        private long packets;
        private long skip;
        private Consumer<Outcome> onMore = outcome -> {};

        @Override
        public boolean onResponseStart() {
            assertFalse(begun, "begun once");
            begun = true;
            return wanted;
        }

        /** Counts packets by walking from header to header, as a client would. */
        @Override
        public void onResponsePackets(ByteBuf in) {
            bytes += in.readableBytes();
            while (in.isReadable()) {
                if (skip > 0) {
                    int now = (int) Math.min(skip, in.readableBytes());
                    in.skipBytes(now);
                    skip -= now;
                } else {
                    assertTrue(in.readableBytes() >= PacketDecoder.HEADER_BYTES, "headers come whole");
                    skip = in.readUnsignedMediumLE();
                    assertEquals(packets + 1 & 0xff, in.readUnsignedByte(), "numbered as the server does");
                    packets++;
                }
            }
            in.release();
            onMore.accept(this);
        }

        @Override
        public void onResponseEnd(Result how, ErrPacket with) {
            assertFalse(result.isDone(), "one end");
            error = with;
            result.complete(how);
        }

        Result get() throws Exception {
            return result.get(20, TimeUnit.SECONDS);
        }
    }

    private BackendConnection connect(String password) throws Exception {
        CompletableFuture<BackendConnection> login = new CompletableFuture<>();
        Bootstrap dialer = new Bootstrap().group(loops).channel(NioSocketChannel.class);
        dialer.handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        PacketDecoder decoder = new PacketDecoder();
                        channel.pipeline()
                                .addLast(
                                        decoder,
                                        new BackendConnection(
                                                new Account(OrderDatabase.USER, password, ""),
                                                decoder,
                                                new BackendConnection.LoginListener() {
                                                    @Override
                                                    public void onLoginSucceeded(BackendConnection connection) {
                                                        login.complete(connection);
                                                    }

                                                    @Override
                                                    public void onLoginFailed(String why, ErrPacket error) {
                                                        login.completeExceptionally(new IllegalStateException(why));
                                                    }
                                                }));
                    }
                })
                .connect(database.address());
        return login.get(20, TimeUnit.SECONDS);
    }

    private static Outcome carry(BackendConnection connection, String sql, Outcome outcome) {
        loops.next()
                .execute(() -> connection.sendCommand(
                        Unpooled.buffer().writeByte(3).writeBytes(sql.getBytes(StandardCharsets.UTF_8)),
                        ResponseType.RESULT_SETS,
                        outcome));
        return outcome;
    }

    private static Outcome carry(BackendConnection connection, String sql) {
        return carry(connection, sql, new Outcome());
    }

    @ParameterizedTest
    @CsvSource({NATIVE + ",", SHA2 + ",", NATIVE + "," + SHA2, SHA2 + "," + NATIVE})
    void itLogsInWithEachPlugin(String plugin, String switchTo) throws Exception {
        database = OrderDatabase.start(plugin, switchTo);
        BackendConnection connection = connect(OrderDatabase.PASSWORD);
        assertEquals(Result.OK, carry(connection, INSERT).get());
        assertEquals(1, database.inserts("o"));
        Exception refused = org.junit.jupiter.api.Assertions.assertThrows(Exception.class, () -> connect("wrong"));
        assertTrue(refused.getMessage().contains("1045 Access denied"), refused.getMessage());
        assertEquals(1, database.logins());
    }

    @Test
    void rowsPassAsTheServerNumberedThemAndTheConnectionServesOn() throws Exception {
        database = OrderDatabase.start(NATIVE, null);
        BackendConnection connection = connect(OrderDatabase.PASSWORD);
        for (int round = 0; round < 3; round++) {
            Outcome rows = carry(connection, "SELECT 1000 ROWS");
            assertEquals(Result.OK, rows.get());
            assertEquals(1 + 1 + 1_000 + 1, rows.packets, "count, column, rows and their end");
            Outcome unknown = carry(connection, "DROP TABLE orders");
            assertEquals(Result.ERROR, unknown.get());
            assertEquals("42000", unknown.error.sqlState());
            assertFalse(unknown.begun, "an error is no answer that begins");
        }
    }

    @Test
    void aServerIsReadNoFasterThanItsClientReads() throws Exception {
        database = OrderDatabase.start(NATIVE, null);
        BackendConnection connection = connect(OrderDatabase.PASSWORD);
        CompletableFuture<Long> whenHeld = new CompletableFuture<>();
        Outcome rows = new Outcome();
        rows.onMore = first -> {
            first.onMore = more -> {};
            connection.setReading(false);
            // Some turns of the loop later only what was read by then has come.
            loops.next().schedule(() -> whenHeld.complete(rows.bytes), 100, TimeUnit.MILLISECONDS);
        };
        carry(connection, "SELECT 500000 ROWS", rows);
        long held = whenHeld.get(20, TimeUnit.SECONDS);
        assertTrue(held < 1 << 20, held + " bytes of 5 MB were read");
        assertFalse(rows.result.isDone());
        loops.next().execute(() -> connection.setReading(true));
        assertEquals(Result.OK, rows.get());
        assertEquals(500_003, rows.packets);
    }

    @Test
    void wherePacketOrByteTheAnswerBreaksOffTheOrderIsInsertedOnceAndMayHaveRun() throws Exception {
        database = OrderDatabase.start(NATIVE, null);
        int inserted = 0;
        // The OK has 11 bytes with its header; the last of them ends it.
        for (int at = 0; at < 11; at++) {
            int bytes = at;
            database.script(sql -> new Fault.BreakOff(Long.MAX_VALUE, bytes));
            Outcome insert = carry(connect(OrderDatabase.PASSWORD), INSERT);
            assertEquals(Result.RESET, insert.get(), "behind byte " + at);
            assertFalse(insert.begun, "nothing of it was passed on");
            assertEquals(++inserted, database.inserts("o"));
        }
        database.script(sql -> new Fault.Drop());
        Outcome dropped = carry(connect(OrderDatabase.PASSWORD), INSERT);
        assertEquals(Result.RESET, dropped.get(), "not to be told apart from the others");
        assertEquals(inserted, database.inserts("o"));
        database.script(sql -> new Fault.Misnumber());
        Outcome odd = carry(connect(OrderDatabase.PASSWORD), INSERT);
        assertEquals(Result.RESET, odd.get());
        assertFalse(odd.begun);
    }

    @Test
    void rowsThatBreakOffAtAnyPacketAreNeverWhole() throws Exception {
        database = OrderDatabase.start(NATIVE, null);
        for (int at = 0; at < 6; at++) {
            int packets = at;
            database.script(sql -> new Fault.BreakOff(packets, Long.MAX_VALUE));
            Outcome rows = carry(connect(OrderDatabase.PASSWORD), "SELECT 3 ROWS");
            assertEquals(Result.RESET, rows.get());
            assertEquals(at > 0, rows.begun);
            assertEquals(at, rows.packets);
        }
    }

    @Test
    void whatIsGivenUpIsToldNoEndAndItsConnectionIsClosed() throws Exception {
        database = OrderDatabase.start(NATIVE, null);
        BackendConnection connection = connect(OrderDatabase.PASSWORD);
        Outcome rows = new Outcome();
        CompletableFuture<Void> given = new CompletableFuture<>();
        rows.onMore = first -> {
            rows.onMore = more -> org.junit.jupiter.api.Assertions.fail("more behind the giving up");
            connection.abort();
            given.complete(null);
        };
        carry(connection, "SELECT 100000 ROWS", rows);
        given.get(20, TimeUnit.SECONDS);
        BackendConnection unwanted = connect(OrderDatabase.PASSWORD);
        Outcome late = new Outcome();
        late.wanted = false;
        carry(unwanted, "SELECT 3 ROWS", late);
        while (loops.next().submit(unwanted::isIdle).get() || !late.begun) {
            Thread.onSpinWait();
        }
        assertNull(rows.result.getNow(null));
        assertNull(late.result.getNow(null));
        assertEquals(0, late.packets, "nothing passes once it is broken off");
    }
}
