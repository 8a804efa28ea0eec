package kitemux.standin;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import kitemux.standin.OrderDatabase.Fault;
import kitemux.standin.OrderTable.Session;
import kitemux.standin.OrderTable.StatementResult;

/** A client's connection to an {@link OrderDatabase}: its login, its commands and their responses. */
final class OrderDatabaseConnection {
    private static final int PROTOCOL_VERSION = 10;
    private static final String SERVER_VERSION = "8.4.0-standin";
    private static final int CONNECTION_ID = 7;
    private static final int CHARACTER_SET_UTF8MB4 = 45;
    private static final int FIRST_NONCE_BYTES = 8;
    private static final int GREETING_FILLER_BYTES = 10;
    /** Maximum packet size, character set and filler of a client's handshake response. */
    private static final int HANDSHAKE_FILLER_BYTES = 4 + 1 + 23;

    private static final long CLIENT_LONG_PASSWORD = 1;
    private static final long CLIENT_FOUND_ROWS = 1 << 1;
    private static final long CLIENT_LONG_FLAG = 1 << 2;
    private static final long CLIENT_CONNECT_WITH_DB = 1 << 3;
    private static final long CLIENT_PROTOCOL_41 = 1 << 9;
    private static final long CLIENT_TRANSACTIONS = 1 << 13;
    private static final long CLIENT_SECURE_CONNECTION = 1 << 15;
    private static final long CLIENT_MULTI_RESULTS = 1 << 17;
    private static final long CLIENT_PS_MULTI_RESULTS = 1 << 18;
    private static final long CLIENT_PLUGIN_AUTH = 1 << 19;
    private static final long CLIENT_CONNECT_ATTRS = 1 << 20;
    private static final long CLIENT_PLUGIN_AUTH_LENENC_DATA = 1 << 21;
    private static final long CLIENT_DEPRECATE_EOF = 1 << 24;
    private static final long CAPABILITIES = CLIENT_LONG_PASSWORD
            | CLIENT_FOUND_ROWS
            | CLIENT_LONG_FLAG
            | CLIENT_CONNECT_WITH_DB
            | CLIENT_PROTOCOL_41
            | CLIENT_TRANSACTIONS
            | CLIENT_SECURE_CONNECTION
            | CLIENT_MULTI_RESULTS
            | CLIENT_PS_MULTI_RESULTS
            | CLIENT_PLUGIN_AUTH
            | CLIENT_CONNECT_ATTRS
            | CLIENT_PLUGIN_AUTH_LENENC_DATA
            | CLIENT_DEPRECATE_EOF;

    private static final int STATUS_IN_TRANSACTION = 1;
    private static final int STATUS_AUTOCOMMIT = 1 << 1;

    private static final int OK_HEADER = 0;
    private static final int EOF_HEADER = 0xfe;
    private static final int ERROR_HEADER = 0xff;
    private static final int AUTH_SWITCH_HEADER = 0xfe;
    /** Tells a client of caching_sha2_password that its proof was found in the cache. */
    private static final byte[] FAST_AUTH_SUCCESS = {1, 3};

    private static final int COLUMN_FIXED_FIELDS_BYTES = 0x0c;
    private static final int COLUMN_LENGTH = 1024;
    private static final int COLUMN_TYPE_VAR_STRING = 0xfd;

    private static final int COM_QUIT = 0x01;
    private static final int COM_INIT_DB = 0x02;
    private static final int COM_QUERY = 0x03;
    private static final int COM_PING = 0x0e;
    private static final int COM_STMT_PREPARE = 0x16;
    private static final int COM_STMT_EXECUTE = 0x17;
    private static final int COM_STMT_CLOSE = 0x19;
    private static final int COM_STMT_RESET = 0x1a;
    private static final int COM_RESET_CONNECTION = 0x1f;

    private static final int TYPE_TINY = 1;
    private static final int TYPE_SHORT = 2;
    private static final int TYPE_LONG = 3;
    private static final int TYPE_LONGLONG = 8;

    private static final int ER_ACCESS_DENIED = 1045;
    private static final int ER_UNKNOWN_COMMAND = 1047;
    private static final int ER_PARSE = 1064;
    private static final int ER_UNKNOWN_STATEMENT_HANDLER = 1243;

    private static final int WRONG_SEQUENCE_OFFSET = 5;

    private final MysqlPackets packets;
    private final String plugin;
    private final String switchPlugin;
    private final OrderTable table;
    private final Function<String, Fault> script;
    private final Map<Integer, PreparedStatement> preparedStatements = new HashMap<>();
    private Session session = new Session();
    private long capabilities;
    private int lastStatementId;

    /** A prepared statement with the types of its parameters, as last bound. */
    private record PreparedStatement(String sql, int parameterCount, int[] parameterTypes) {}

    /** The effect of a command, with its response. */
    private interface Effect {
        void run() throws IOException;
    }

    OrderDatabaseConnection(
            Socket client, String plugin, String switchPlugin, OrderTable table, Function<String, Fault> script)
            throws IOException {
        this.plugin = plugin;
        this.switchPlugin = switchPlugin;
        this.table = table;
        this.script = script;
        packets = new MysqlPackets(
                new DataInputStream(new BufferedInputStream(client.getInputStream())),
                new BufferedOutputStream(client.getOutputStream()));
    }

    /**
     * Serves the connection until its client quits.
     *
     * @param onLogin called after a successful login
     * @throws IOException if the connection ends, or a fault of the script ends it
     */
    void serve(Runnable onLogin) throws IOException {
        if (!login()) {
            packets.flush();
            return;
        }
        onLogin.run();
        boolean isOpen = true;
        while (isOpen) {
            packets.flush();
            packets.startExchange();
            isOpen = handleCommand(packets.read());
        }
    }

    // ---------------------------------------------------------------- login

    private boolean login() throws IOException {
        byte[] nonce = PasswordProof.newNonce();
        writeGreeting(nonce);
        PayloadReader response = new PayloadReader(packets.read());
        capabilities = response.fixedInt(4) & CAPABILITIES;
        response.bytes(HANDSHAKE_FILLER_BYTES);
        String user = response.nullTerminated();
        byte[] proof = response.bytes(
                has(CLIENT_PLUGIN_AUTH_LENENC_DATA) ? response.lengthEncodedInt() : response.fixedInt(1));
        if (has(CLIENT_CONNECT_WITH_DB)) {
            response.nullTerminated();
        }
        String clientPlugin = response.isAtEnd() ? plugin : response.nullTerminated();
        String requiredPlugin = switchPlugin == null ? plugin : switchPlugin;
        if (switchPlugin != null || !clientPlugin.equals(requiredPlugin)) {
            nonce = PasswordProof.newNonce();
            proof = switchPlugin(requiredPlugin, nonce);
        }
        byte[] expected = PasswordProof.compute(requiredPlugin, OrderDatabase.PASSWORD, nonce);
        if (!user.equals(OrderDatabase.USER) || !Arrays.equals(proof, expected)) {
            writeError(ER_ACCESS_DENIED, "28000", "Access denied for user '" + user + "'");
            return false;
        }
        if (requiredPlugin.equals(PasswordProof.SHA2_PLUGIN)) {
            packets.write(FAST_AUTH_SUCCESS);
        }
        writeOk(0);
        return true;
    }

    private boolean has(long capability) {
        return (capabilities & capability) != 0;
    }

    private void writeGreeting(byte[] nonce) throws IOException {
        packets.write(new PayloadWriter()
                .fixedInt(PROTOCOL_VERSION, 1)
                .nullTerminated(SERVER_VERSION)
                .fixedInt(CONNECTION_ID, 4)
                .bytes(Arrays.copyOf(nonce, FIRST_NONCE_BYTES))
                .fixedInt(0, 1)
                .fixedInt(CAPABILITIES, 2)
                .fixedInt(CHARACTER_SET_UTF8MB4, 1)
                .fixedInt(STATUS_AUTOCOMMIT, 2)
                .fixedInt(CAPABILITIES >> Short.SIZE, 2)
                .fixedInt(PasswordProof.NONCE_BYTES + 1, 1)
                .bytes(new byte[GREETING_FILLER_BYTES])
                .bytes(Arrays.copyOfRange(nonce, FIRST_NONCE_BYTES, PasswordProof.NONCE_BYTES))
                .fixedInt(0, 1)
                .nullTerminated(plugin)
                .toByteArray());
        packets.flush();
    }

    /** Asks the client to authenticate with this plugin and returns its proof. */
    private byte[] switchPlugin(String requiredPlugin, byte[] nonce) throws IOException {
        packets.write(new PayloadWriter()
                .fixedInt(AUTH_SWITCH_HEADER, 1)
                .nullTerminated(requiredPlugin)
                .bytes(nonce)
                .fixedInt(0, 1)
                .toByteArray());
        packets.flush();
        return packets.read();
    }

    // ---------------------------------------------------------------- commands

    /** Handles a command and returns whether the connection stays open. */
    private boolean handleCommand(byte[] payload) throws IOException {
        PayloadReader in = new PayloadReader(payload);
        packets.cutOffAfter(Long.MAX_VALUE, Long.MAX_VALUE);
        switch ((int) in.fixedInt(1)) {
            case COM_QUIT -> {
                return false;
            }
            case COM_INIT_DB -> run("use", () -> writeOk(0));
            case COM_PING -> run("ping", () -> writeOk(0));
            case COM_RESET_CONNECTION -> {
                session = new Session();
                preparedStatements.clear();
                run("reset", () -> writeOk(0));
            }
            case COM_STMT_RESET -> run("reset statement", () -> writeOk(0));
            case COM_QUERY -> {
                String sql = in.remainingText();
                run(sql, () -> execute(sql, List.of(), false));
            }
            case COM_STMT_PREPARE -> {
                String sql = in.remainingText();
                run("prepare " + sql, () -> prepare(sql));
            }
            case COM_STMT_EXECUTE -> executePrepared(in);
            case COM_STMT_CLOSE -> preparedStatements.remove((int) in.fixedInt(4));
            default -> writeError(ER_UNKNOWN_COMMAND, "08S01", "Unknown command");
        }
        return true;
    }

    /** Runs a command with the fault that the script has for it. */
    private void run(String command, Effect effect) throws IOException {
        Fault fault = script.apply(command);
        if (fault instanceof Fault.Drop) {
            throw new MysqlPackets.CutOffException();
        } else if (fault instanceof Fault.Error error) {
            writeError(error.code(), error.state(), error.message());
            return;
        } else if (fault instanceof Fault.CutOff cutOff) {
            packets.cutOffAfter(cutOff.packets(), cutOff.bytes());
        } else if (fault instanceof Fault.WrongSequenceNumbers) {
            packets.shiftSequenceNumbers(WRONG_SEQUENCE_OFFSET);
        }
        try {
            effect.run();
        } finally {
            packets.flush();
        }
    }

    private void prepare(String sql) throws IOException {
        int id = ++lastStatementId;
        int parameterCount = OrderTable.countParameters(sql);
        List<String> columns = OrderTable.resultColumns(sql);
        preparedStatements.put(id, new PreparedStatement(sql, parameterCount, new int[parameterCount]));
        packets.write(new PayloadWriter()
                .fixedInt(OK_HEADER, 1)
                .fixedInt(id, 4)
                .fixedInt(columns.size(), 2)
                .fixedInt(parameterCount, 2)
                .fixedInt(0, 1)
                .fixedInt(0, 2)
                .toByteArray());
        for (int i = 0; i < parameterCount; i++) {
            writeColumn("?");
        }
        if (parameterCount > 0) {
            writeEofUnlessDeprecated();
        }
        for (String column : columns) {
            writeColumn(column);
        }
        if (!columns.isEmpty()) {
            writeEofUnlessDeprecated();
        }
    }

    private void executePrepared(PayloadReader in) throws IOException {
        int id = (int) in.fixedInt(4);
        // Flags and iteration count.
        in.fixedInt(1 + 4);
        PreparedStatement statement = preparedStatements.get(id);
        if (statement == null) {
            run(
                    "execute unknown",
                    () -> writeError(ER_UNKNOWN_STATEMENT_HANDLER, "HY000", "Unknown prepared statement handler"));
            return;
        }
        List<String> values = statement.parameterCount == 0 ? List.of() : readParameters(statement, in);
        run(statement.sql, () -> execute(statement.sql, values, true));
    }

    private static List<String> readParameters(PreparedStatement statement, PayloadReader in) {
        byte[] nullBitmap = in.bytes((statement.parameterCount + 7) / Byte.SIZE);
        boolean hasTypes = in.fixedInt(1) == 1;
        if (hasTypes) {
            for (int i = 0; i < statement.parameterCount; i++) {
                statement.parameterTypes[i] = (int) in.fixedInt(2) & 0xff;
            }
        }
        List<String> values = new ArrayList<>();
        for (int i = 0; i < statement.parameterCount; i++) {
            boolean isNull = (nullBitmap[i / Byte.SIZE] >> i % Byte.SIZE & 1) == 1;
            values.add(isNull ? null : readParameter(in, statement.parameterTypes[i]));
        }
        return values;
    }

    private static String readParameter(PayloadReader in, int type) {
        return switch (type) {
            case TYPE_TINY -> Long.toString(in.fixedInt(1));
            case TYPE_SHORT -> Long.toString(in.fixedInt(2));
            case TYPE_LONG -> Long.toString((int) in.fixedInt(4));
            case TYPE_LONGLONG -> Long.toString(in.fixedInt(8));
            default -> in.lengthEncodedText();
        };
    }

    /** Executes a statement and writes its result, with rows in the text or the binary format. */
    private void execute(String sql, List<String> values, boolean isBinary) throws IOException {
        StatementResult result;
        try {
            result = table.execute(session, sql, values);
        } catch (OrderTable.UnknownStatementException e) {
            writeError(ER_PARSE, "42000", e.getMessage());
            return;
        }
        if (result.columns().isEmpty()) {
            writeOk(result.changedRows());
            return;
        }
        packets.write(
                new PayloadWriter().lengthEncodedInt(result.columns().size()).toByteArray());
        for (String column : result.columns()) {
            writeColumn(column);
        }
        writeEofUnlessDeprecated();
        for (List<String> row : result.rows()) {
            writeRow(row, isBinary);
        }
        writeEndOfRows();
    }

    // ---------------------------------------------------------------- responses

    private void writeRow(List<String> row, boolean isBinary) throws IOException {
        PayloadWriter out = new PayloadWriter();
        if (isBinary) {
            out.fixedInt(OK_HEADER, 1).bytes(new byte[(row.size() + 9) / Byte.SIZE]);
        }
        row.forEach(out::lengthEncodedText);
        packets.write(out.toByteArray());
    }

    private void writeEndOfRows() throws IOException {
        if (!has(CLIENT_DEPRECATE_EOF)) {
            writeEofUnlessDeprecated();
            return;
        }
        writeOkLike(EOF_HEADER, 0);
    }

    private void writeColumn(String name) throws IOException {
        packets.write(new PayloadWriter()
                .lengthEncodedText("def")
                .lengthEncodedText("shop")
                .lengthEncodedText("orders")
                .lengthEncodedText("orders")
                .lengthEncodedText(name)
                .lengthEncodedText(name)
                .lengthEncodedInt(COLUMN_FIXED_FIELDS_BYTES)
                .fixedInt(CHARACTER_SET_UTF8MB4, 2)
                .fixedInt(COLUMN_LENGTH, 4)
                .fixedInt(COLUMN_TYPE_VAR_STRING, 1)
                .fixedInt(0, 2)
                .fixedInt(0, 1)
                .fixedInt(0, 2)
                .toByteArray());
    }

    private void writeEofUnlessDeprecated() throws IOException {
        if (!has(CLIENT_DEPRECATE_EOF)) {
            packets.write(new PayloadWriter()
                    .fixedInt(EOF_HEADER, 1)
                    .fixedInt(0, 2)
                    .fixedInt(status(), 2)
                    .toByteArray());
        }
    }

    private int status() {
        return (session.isInTransaction() ? STATUS_IN_TRANSACTION : 0)
                | (session.isAutocommit() ? STATUS_AUTOCOMMIT : 0);
    }

    private void writeOk(int changedRows) throws IOException {
        writeOkLike(OK_HEADER, changedRows);
    }

    private void writeOkLike(int header, int changedRows) throws IOException {
        packets.write(new PayloadWriter()
                .fixedInt(header, 1)
                .lengthEncodedInt(changedRows)
                .lengthEncodedInt(0)
                .fixedInt(status(), 2)
                .fixedInt(0, 2)
                .toByteArray());
    }

    private void writeError(int code, String state, String message) throws IOException {
        packets.write(new PayloadWriter()
                .fixedInt(ERROR_HEADER, 1)
                .fixedInt(code, 2)
                .bytes(("#" + state + message).getBytes(StandardCharsets.UTF_8))
                .toByteArray());
    }
}
