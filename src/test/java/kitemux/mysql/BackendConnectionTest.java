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

/** Connections to a server that drops, truncates and misnumbers its responses at scripted moments. */
class BackendConnectionTest {
    private static final String NATIVE = "mysql_native_password";
    private static final String SHA2 = "caching_sha2_password";
    private static final String INSERT = "INSERT INTO orders (id, school) VALUES ('o', 's')";
    private static EventLoopGroup eventLoops;

    private OrderDatabase database;

    @BeforeAll
    static void startEventLoops() {
        eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterAll
    static void stopEventLoops() throws Exception {
        eventLoops.shutdownGracefully(0, 20, TimeUnit.SECONDS).sync();
    }

    @AfterEach
    void close() throws Exception {
        database.close();
    }

    /** Records the response to a command. */
    private static final class Outcome implements BackendConnection.ResponseListener {
        private final CompletableFuture<Result> result = new CompletableFuture<>();
        private ErrPacket error;
        private boolean started;
        private boolean accepted = true;
        private long bytes;
        private long packets;
        private long bytesToSkip;
        private Consumer<Outcome> onPackets = outcome -> {};

        @Override
        public boolean onResponseStart() {
            assertFalse(started, "a response starts only once");
            started = true;
            return accepted;
        }

        /** Counts packets by following their headers, as a client would. */
        @Override
        public void onResponsePackets(ByteBuf in) {
            bytes += in.readableBytes();
            while (in.isReadable()) {
                if (bytesToSkip > 0) {
                    int skippedBytes = (int) Math.min(bytesToSkip, in.readableBytes());
                    in.skipBytes(skippedBytes);
                    bytesToSkip -= skippedBytes;
                } else {
                    assertTrue(in.readableBytes() >= PacketDecoder.HEADER_BYTES, "headers are never split");
                    bytesToSkip = in.readUnsignedMediumLE();
                    assertEquals(packets + 1 & 0xff, in.readUnsignedByte(), "sequence numbers of the server are kept");
                    packets++;
                }
            }
            in.release();
            onPackets.accept(this);
        }

        @Override
        public void onResponseEnd(Result reportedResult, ErrPacket reportedError) {
            assertFalse(result.isDone(), "a response ends only once");
            error = reportedError;
            result.complete(reportedResult);
        }

        Result get() throws Exception {
            return result.get(20, TimeUnit.SECONDS);
        }
    }

    private BackendConnection connect(String password) throws Exception {
        CompletableFuture<BackendConnection> login = new CompletableFuture<>();
        Bootstrap dialer = new Bootstrap().group(eventLoops).channel(NioSocketChannel.class);
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

    private static Outcome sendCommand(BackendConnection connection, String sql, Outcome outcome) {
        eventLoops
                .next()
                .execute(() -> connection.sendCommand(
                        Unpooled.buffer().writeByte(3).writeBytes(sql.getBytes(StandardCharsets.UTF_8)),
                        ResponseType.RESULT_SETS,
                        outcome));
        return outcome;
    }

    private static Outcome sendCommand(BackendConnection connection, String sql) {
        return sendCommand(connection, sql, new Outcome());
    }

    @ParameterizedTest
    @CsvSource({NATIVE + ",", SHA2 + ",", NATIVE + "," + SHA2, SHA2 + "," + NATIVE})
    void loginSucceedsWithEachPlugin(String plugin, String switchTo) throws Exception {
        database = OrderDatabase.start(plugin, switchTo);
        BackendConnection connection = connect(OrderDatabase.PASSWORD);
        assertEquals(Result.OK, sendCommand(connection, INSERT).get());
        assertEquals(1, database.inserts("o"));
        Exception refused = org.junit.jupiter.api.Assertions.assertThrows(Exception.class, () -> connect("wrong"));
        assertTrue(refused.getMessage().contains("1045 Access denied"), refused.getMessage());
        assertEquals(1, database.logins());
    }

    @Test
    void rowsKeepServerSequenceNumbersAndConnectionStaysUsable() throws Exception {
        database = OrderDatabase.start(NATIVE, null);
        BackendConnection connection = connect(OrderDatabase.PASSWORD);
        for (int round = 0; round < 3; round++) {
            Outcome rows = sendCommand(connection, "SELECT 1000 ROWS");
            assertEquals(Result.OK, rows.get());
            assertEquals(1 + 1 + 1_000 + 1, rows.packets, "column count, column definition, rows and end");
            Outcome unknown = sendCommand(connection, "DROP TABLE orders");
            assertEquals(Result.ERROR, unknown.get());
            assertEquals("42000", unknown.error.sqlState());
            assertFalse(unknown.started, "an error does not start a response");
        }
    }

    @Test
    void pausedReadingHoldsTheServerBack() throws Exception {
        database = OrderDatabase.start(NATIVE, null);
        BackendConnection connection = connect(OrderDatabase.PASSWORD);
        CompletableFuture<Long> bytesWhilePaused = new CompletableFuture<>();
        Outcome rows = new Outcome();
        rows.onPackets = first -> {
            first.onPackets = more -> {};
            connection.setReading(false);
            // After some more iterations of the loop only what had been read by then has arrived.
            eventLoops.next().schedule(() -> bytesWhilePaused.complete(rows.bytes), 100, TimeUnit.MILLISECONDS);
        };
        sendCommand(connection, "SELECT 500000 ROWS", rows);
        long bytesRead = bytesWhilePaused.get(20, TimeUnit.SECONDS);
        assertTrue(bytesRead < 1 << 20, bytesRead + " bytes of 5 MB were read while reading was paused");
        assertFalse(rows.result.isDone());
        eventLoops.next().execute(() -> connection.setReading(true));
        assertEquals(Result.OK, rows.get());
        assertEquals(500_003, rows.packets);
    }

    @Test
    void truncatedResponseOfInsertReportsReset() throws Exception {
        database = OrderDatabase.start(NATIVE, null);
        int inserted = 0;
        // The OK packet has 11 bytes with its header; only the last one completes it.
        for (int position = 0; position < 11; position++) {
            int bytes = position;
            database.setScript(sql -> new Fault.CutOff(Long.MAX_VALUE, bytes));
            Outcome insert = sendCommand(connect(OrderDatabase.PASSWORD), INSERT);
            assertEquals(Result.RESET, insert.get(), "truncated after byte " + position);
            assertFalse(insert.started, "nothing was forwarded");
            assertEquals(++inserted, database.inserts("o"));
        }
        database.setScript(sql -> new Fault.Drop());
        Outcome dropped = sendCommand(connect(OrderDatabase.PASSWORD), INSERT);
        assertEquals(Result.RESET, dropped.get(), "indistinguishable from a command that ran");
        assertEquals(inserted, database.inserts("o"));
        database.setScript(sql -> new Fault.WrongSequenceNumbers());
        Outcome misnumbered = sendCommand(connect(OrderDatabase.PASSWORD), INSERT);
        assertEquals(Result.RESET, misnumbered.get());
        assertFalse(misnumbered.started);
    }

    @Test
    void truncatedRowsReportReset() throws Exception {
        database = OrderDatabase.start(NATIVE, null);
        for (int position = 0; position < 6; position++) {
            int packets = position;
            database.setScript(sql -> new Fault.CutOff(packets, Long.MAX_VALUE));
            Outcome rows = sendCommand(connect(OrderDatabase.PASSWORD), "SELECT 3 ROWS");
            assertEquals(Result.RESET, rows.get());
            assertEquals(position > 0, rows.started);
            assertEquals(position, rows.packets);
        }
    }

    @Test
    void abortedCommandReportsNoEndAndClosesTheConnection() throws Exception {
        database = OrderDatabase.start(NATIVE, null);
        BackendConnection connection = connect(OrderDatabase.PASSWORD);
        Outcome rows = new Outcome();
        CompletableFuture<Void> abortCalled = new CompletableFuture<>();
        rows.onPackets = first -> {
            rows.onPackets = more -> org.junit.jupiter.api.Assertions.fail("packets after the abort");
            connection.abort();
            abortCalled.complete(null);
        };
        sendCommand(connection, "SELECT 100000 ROWS", rows);
        abortCalled.get(20, TimeUnit.SECONDS);
        BackendConnection otherConnection = connect(OrderDatabase.PASSWORD);
        Outcome aborted = new Outcome();
        aborted.accepted = false;
        sendCommand(otherConnection, "SELECT 3 ROWS", aborted);
        while (eventLoops.next().submit(otherConnection::isIdle).get() || !aborted.started) {
            Thread.onSpinWait();
        }
        assertNull(rows.result.getNow(null));
        assertNull(aborted.result.getNow(null));
        assertEquals(0, aborted.packets, "nothing is forwarded after the abort");
    }
}
