package kitemux.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.Arrays;
import kitemux.standin.OrderDatabase.Fault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the MySQL stand-in with real drivers. */
class OrderDatabaseTest {
    private static final String NATIVE = "mysql_native_password";
    private static final String SHA2 = "caching_sha2_password";

    private OrderDatabase database;

    private Connection connect(String driver, String options) throws SQLException {
        return DriverManager.getConnection(
                "jdbc:" + driver + "://127.0.0.1:" + database.address().getPort() + "/shop?" + options,
                OrderDatabase.USER,
                OrderDatabase.PASSWORD);
    }

    /** Returns connection options, which each driver names differently. */
    private static String options(String driver, boolean prepared) {
        return driver.equals("mysql")
                ? "sslMode=DISABLED&allowPublicKeyRetrieval=true&useServerPrepStmts=" + prepared
                : "sslMode=disable&useServerPrepStmts=" + prepared;
    }

    @AfterEach
    void close() throws Exception {
        database.close();
    }

    @ParameterizedTest
    @CsvSource({
        "mysql, " + NATIVE + ",",
        "mysql, " + SHA2 + ",",
        "mariadb, " + NATIVE + ",",
        "mariadb, " + SHA2 + ",",
        "mysql, " + NATIVE + ", " + SHA2,
        "mysql, " + SHA2 + ", " + NATIVE,
        "mariadb, " + NATIVE + ", " + SHA2,
        "mariadb, " + SHA2 + ", " + NATIVE
    })
    void driversLogInWithEachPluginAndPluginSwitch(String driver, String plugin, String switchTo) throws Exception {
        database = OrderDatabase.start(plugin, switchTo);
        try (Connection connection = connect(driver, options(driver, false))) {
            assertTrue(connection.isValid(20));
        }
        assertEquals(1, database.logins());
        SQLException denied = assertThrows(
                SQLException.class,
                () -> DriverManager.getConnection(
                        "jdbc:" + driver + "://127.0.0.1:" + database.address().getPort() + "/shop?"
                                + options(driver, false),
                        OrderDatabase.USER,
                        "wrong"));
        assertEquals("28000", denied.getSQLState());
        assertEquals(1, database.logins());
    }

    @ParameterizedTest
    @CsvSource({"mysql, false", "mysql, true", "mariadb, false", "mariadb, true"})
    void ordersAreInsertedSelectedAndRolledBack(String driver, boolean prepared) throws Exception {
        database = OrderDatabase.start(NATIVE, null);
        try (Connection connection = connect(driver, options(driver, prepared));
                PreparedStatement insert =
                        connection.prepareStatement("INSERT INTO orders (id, school) VALUES (?, ?)");
                PreparedStatement select = connection.prepareStatement("SELECT id, school FROM orders WHERE id = ?")) {
            insert.setString(1, "o1");
            insert.setString(2, "school-a");
            assertEquals(1, insert.executeUpdate());
            connection.setAutoCommit(false);
            insert.setString(1, "o2");
            insert.executeUpdate();
            connection.rollback();
            insert.setString(1, "o3");
            insert.executeUpdate();
            assertEquals(0, database.inserts("o3"), "uncommitted");
            connection.commit();
            select.setString(1, "o1");
            try (ResultSet found = select.executeQuery()) {
                assertTrue(found.next());
                assertEquals("school-a", found.getString("school"));
                assertFalse(found.next());
            }
            assertEquals(java.util.Map.of("o1", 1, "o3", 1), database.inserts());
            SQLException unknown = assertThrows(
                    SQLException.class, () -> connection.createStatement().execute("DROP TABLE orders"));
            assertEquals("42000", unknown.getSQLState());
            assertTrue(connection.isValid(20), "the connection survives an error");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"mysql", "mariadb"})
    void thousandsOfRowsAreReadCompletely(String driver) throws Exception {
        database = OrderDatabase.start(NATIVE, null);
        try (Connection connection = connect(driver, options(driver, false));
                Statement statement = connection.createStatement()) {
            statement.setFetchSize(driver.equals("mysql") ? Integer.MIN_VALUE : 10);
            try (ResultSet rows = statement.executeQuery("SELECT 20000 ROWS")) {
                int count = 0;
                while (rows.next()) {
                    assertEquals(count++, rows.getInt(1));
                }
                assertEquals(20_000, count);
            }
        }
    }

    private void insertAndFail(Fault fault, int inserted) throws Exception {
        try (Connection connection = connect("mysql", options("mysql", false));
                Statement statement = connection.createStatement()) {
            database.setScript(sql -> sql.startsWith("INSERT") ? fault : new Fault.None());
            assertThrows(
                    SQLException.class,
                    () -> statement.executeUpdate("INSERT INTO orders (id, school) VALUES ('o', 's')"));
            assertEquals(inserted, database.inserts("o"));
        }
        database.setScript(sql -> new Fault.None());
    }

    @Test
    void faultsOccurBeforeOrAfterTheEffect() throws Exception {
        database = OrderDatabase.start(NATIVE, null);
        insertAndFail(new Fault.Drop(), 0);
        insertAndFail(new Fault.Error(1205, "HY000", "Lock wait timeout exceeded"), 0);
        insertAndFail(new Fault.CutOff(0, Long.MAX_VALUE), 1);
        insertAndFail(new Fault.CutOff(Long.MAX_VALUE, 3), 2);
    }

    @Test
    void driversIgnoreWrongSequenceNumbers() throws Exception {
        database = OrderDatabase.start(NATIVE, null);
        database.setScript(sql -> sql.equals("ping") ? new Fault.WrongSequenceNumbers() : new Fault.None());
        try (Connection connection = connect("mysql", options("mysql", false))) {
            assertTrue(connection.isValid(20));
        }
        try (Socket socket =
                new Socket(database.address().getAddress(), database.address().getPort())) {
            MysqlPackets packets =
                    new MysqlPackets(new DataInputStream(socket.getInputStream()), socket.getOutputStream());
            PayloadReader greeting = new PayloadReader(packets.read());
            greeting.fixedInt(1);
            greeting.nullTerminated();
            greeting.fixedInt(4);
            byte[] nonce = Arrays.copyOf(greeting.bytes(8), 20);
            greeting.bytes(1 + 2 + 1 + 2 + 2 + 1 + 10);
            System.arraycopy(greeting.bytes(12), 0, nonce, 8, 12);
            byte[] proof = PasswordProof.compute(NATIVE, OrderDatabase.PASSWORD, nonce);
            packets.write(new PayloadWriter()
                    .fixedInt(1 << 9 | 1 << 15 | 1 << 19, 4)
                    .fixedInt(1 << 24, 4)
                    .fixedInt(45, 1)
                    .bytes(new byte[23])
                    .nullTerminated(OrderDatabase.USER)
                    .fixedInt(proof.length, 1)
                    .bytes(proof)
                    .nullTerminated(NATIVE)
                    .toByteArray());
            assertEquals(0, packets.read()[0], "logged in");
            packets.startExchange();
            packets.write(new byte[] {0x0e});
            IOException off = assertThrows(IOException.class, packets::read);
            assertEquals("sequence number 6 instead of 1", off.getMessage());
        }
    }

    @Test
    void responseIsCutOffBetweenRows() throws Exception {
        database = OrderDatabase.start(NATIVE, null);
        database.setScript(sql -> sql.startsWith("SELECT 9") ? new Fault.CutOff(6, Long.MAX_VALUE) : new Fault.None());
        int[] seen = new int[1];
        // Closing a statement whose rows were cut off throws again.
        assertThrows(SQLException.class, () -> {
            try (Connection connection = connect("mysql", options("mysql", false));
                    Statement statement = connection.createStatement()) {
                statement.setFetchSize(Integer.MIN_VALUE);
                try (ResultSet rows = statement.executeQuery("SELECT 9 ROWS")) {
                    while (rows.next()) {
                        assertEquals(seen[0]++, rows.getInt(1));
                    }
                }
            }
        });
        assertTrue(seen[0] > 0 && seen[0] < 9, seen[0] + " rows were read");
    }
}
