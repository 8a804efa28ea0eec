package kitemux.mysql;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import kitemux.Balancer.Result;
import kitemux.mysql.PacketDecoder.Part;
import kitemux.mysql.ResponseTracker.ResponseType;
import kitemux.standin.OrderDatabase;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Logins of clients, including real drivers, and their commands against a stand-in database. */
class ClientLoginTest {
    private static final Users USERS = new Users(Map.of(
            "both",
            Users.User.withPassword("both", "secret"),
            "old",
            new Users.User("old", Map.of(AuthPlugin.NATIVE, AuthPlugin.NATIVE.digest("secret"))),
            "new",
            new Users.User("new", Map.of(AuthPlugin.CACHING_SHA2, AuthPlugin.CACHING_SHA2.digest("secret"))),
            "open",
            Users.User.withPassword("open", "")));

    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<String> loggedInUsers = new CopyOnWriteArrayList<>();
    private OrderDatabase database;

    @AfterEach
    void close() throws Exception {
        eventLoops.shutdownGracefully(0, 20, TimeUnit.SECONDS).sync();
        if (database != null) {
            database.close();
        }
    }

    /** Forwards the commands of a client over a backend connection of its own, and the responses back. */
    private final class Relay extends ChannelInboundHandlerAdapter {
        private final Channel client;
        private final PacketDecoder decoder;
        private final BackendConnection server;
        private final PayloadAssembler assembler;

        Relay(Channel client, PacketDecoder decoder, BackendConnection server) {
            this.client = client;
            this.decoder = decoder;
            this.server = server;
            assembler = new PayloadAssembler(client.alloc(), 1 << 20);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf command = assembler.add((Part) message);
            if (command == null) {
                return;
            }
            decoder.expectSequence(0);
            if (command.getByte(0) == 1) {
                command.release();
                client.close();
                return;
            }
            server.sendCommand(command, ResponseType.RESULT_SETS, new BackendConnection.ResponseListener() {
                @Override
                public boolean onResponseStart() {
                    return true;
                }

                @Override
                public void onResponsePackets(ByteBuf packets) {
                    client.writeAndFlush(packets);
                }

                @Override
                public void onResponseEnd(Result result, ErrPacket error) {
                    if (result != Result.OK) {
                        ByteBuf out = client.alloc().buffer();
                        error.write(out);
                        client.writeAndFlush(Packets.write(client.alloc(), out, 1));
                    }
                }
            });
        }
    }

    private void connectToDatabase(Channel client, PacketDecoder decoder) {
        client.config().setAutoRead(false);
        Bootstrap dialer = new Bootstrap().group(client.eventLoop()).channel(NioSocketChannel.class);
        dialer.handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        PacketDecoder backendDecoder = new PacketDecoder();
                        channel.pipeline()
                                .addLast(
                                        backendDecoder,
                                        new BackendConnection(
                                                new BackendConnection.Account(
                                                        OrderDatabase.USER, OrderDatabase.PASSWORD, ""),
                                                backendDecoder,
                                                new BackendConnection.LoginListener() {
                                                    @Override
                                                    public void onLoginSucceeded(BackendConnection server) {
                                                        client.pipeline().addLast(new Relay(client, decoder, server));
                                                        client.config().setAutoRead(true);
                                                    }

                                                    @Override
                                                    public void onLoginFailed(String why, ErrPacket error) {
                                                        client.close();
                                                    }
                                                }));
                    }
                })
                .connect(database.address());
    }

    private InetSocketAddress listen(AuthPlugin initialPlugin, long loginTimeoutMs) throws Exception {
        database = OrderDatabase.start("caching_sha2_password", null);
        return (InetSocketAddress) new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        PacketDecoder decoder = new PacketDecoder();
                        channel.pipeline()
                                .addLast(
                                        decoder,
                                        new ClientLogin(
                                                USERS,
                                                5,
                                                initialPlugin,
                                                loginTimeoutMs,
                                                decoder,
                                                (client, packets, handshake) -> {
                                                    loggedInUsers.add(handshake.user());
                                                    connectToDatabase(client, packets);
                                                }));
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel()
                .localAddress();
    }

    private static Connection connect(String driver, InetSocketAddress address, String user, String password)
            throws SQLException {
        return DriverManager.getConnection(
                "jdbc:" + driver + "://127.0.0.1:" + address.getPort() + "/?"
                        + (driver.equals("mysql") ? "sslMode=DISABLED" : "sslMode=disable"),
                user,
                password);
    }

    @ParameterizedTest
    @CsvSource({
        "mysql, both, NATIVE",
        "mysql, both, CACHING_SHA2",
        "mysql, old, CACHING_SHA2",
        "mysql, new, NATIVE",
        "mysql, open, NATIVE",
        "mariadb, both, NATIVE",
        "mariadb, both, CACHING_SHA2",
        "mariadb, old, CACHING_SHA2",
        "mariadb, new, NATIVE",
        "mariadb, open, CACHING_SHA2"
    })
    void driversLogInAndRunCommands(String driver, String user, AuthPlugin initialPlugin) throws Exception {
        InetSocketAddress address = listen(initialPlugin, 20_000);
        try (Connection connection = connect(driver, address, user, user.equals("open") ? "" : "secret");
                Statement statement = connection.createStatement()) {
            assertEquals(1, statement.executeUpdate("INSERT INTO orders (id, school) VALUES ('o', 's')"));
            try (ResultSet found = statement.executeQuery("SELECT id, school FROM orders")) {
                assertTrue(found.next());
                assertEquals("s", found.getString(2));
                assertFalse(found.next());
            }
            SQLException unknown =
                    assertThrows(SQLException.class, () -> statement.executeUpdate("INSERT INTO nowhere VALUES (1)"));
            assertEquals("42000", unknown.getSQLState());
            assertTrue(connection.isValid(20));
        }
        assertEquals(List.of(user), loggedInUsers);
        assertEquals(1, database.inserts("o"));
        for (String[] other : new String[][] {{user, "wrong"}, {"nobody", "secret"}, {"nobody", ""}}) {
            SQLException denied = assertThrows(SQLException.class, () -> connect(driver, address, other[0], other[1]));
            assertEquals(1045, denied.getErrorCode(), denied.toString());
        }
        assertEquals(List.of(user), loggedInUsers, "no other user logged in");
    }

    private static String readAll(Socket client) throws Exception {
        client.setSoTimeout(20_000);
        InputStream in = client.getInputStream();
        return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    @Test
    void incompleteLoginTimesOutWithAnError() throws Exception {
        InetSocketAddress address = listen(AuthPlugin.CACHING_SHA2, 30);
        List<Socket> flood = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            flood.add(new Socket(address.getAddress(), address.getPort()));
        }
        for (Socket client : flood) {
            assertTrue(readAll(client).contains("#08S01the login took too long"));
            client.close();
        }
        assertEquals(List.of(), loggedInUsers);
    }

    @ParameterizedTest
    @ValueSource(strings = {"\5\0\0\1hello", "\5\0\0\0hello", "GET / HTTP/1.1\r\n\r\n", "\377\377\377\1"})
    void invalidLoginIsRejectedWithAnError(String sent) throws Exception {
        InetSocketAddress address = listen(AuthPlugin.NATIVE, 20_000);
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            byte[] bytes = sent.getBytes(StandardCharsets.ISO_8859_1);
            client.getOutputStream().write(bytes);
            if (sent.startsWith("\377")) {
                // A packet of 16 MiB from an unauthenticated client must not be buffered.
                client.getOutputStream().write(new byte[4 * ClientLogin.MAX_PAYLOAD_BYTES]);
            }
            String response = readAll(client);
            assertTrue(response.contains("#HY000") || response.contains("#08S01"), response);
        }
    }
}
