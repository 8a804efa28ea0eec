package kitemux.standin;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import kitemux.standin.OrderTable.Given;
import kitemux.standin.OrderTable.Session;
import kitemux.standin.SqlPackets.Fields;
import kitemux.standin.SqlPackets.Payload;

/**
 * A server of MySQL's protocol with one table of orders, for tests: it logs clients in, runs statements as
 * text and prepared, and does what a script says where one goes wrong. It counts every insert by its order's
 * id. A thread for each connection; no TLS.
 */
public final class OrderDatabase implements AutoCloseable {
    /** Its one user. */
    public static final String USER = "records";
    /** That user's password. */
    public static final String PASSWORD = "yearbook";

    private static final String NATIVE = "mysql_native_password";
    private static final String SHA2 = "caching_sha2_password";
    private static final int NONCE = 20;
    private static final int TEXT_TYPE = 0xfd;
    private static final int UTF8MB4 = 45;
    private static final long CAPABILITIES = 1 | 1 << 1 | 1 << 2 | 1 << 3 | 1 << 9 | 1 << 13 | 1 << 15 | 1 << 17
            | 1 << 18 | 1 << 19 | 1 << 20 | 1 << 21 | 1 << 24;
    private static final long DEPRECATE_EOF = 1 << 24;

    /** What goes wrong with a command. */
    public sealed interface Fault {
        /** Nothing. */
        record None() implements Fault {}

        /** The connection breaks before the command has any effect. */
        record Drop() implements Fault {}

        /** It has its effect, and the answer breaks off behind so many packets, or bytes. */
        record BreakOff(long packets, long bytes) implements Fault {}

        /** An error in place of its effect. */
        record Error(int code, String state, String message) implements Fault {}

        /** It has its effect, and the answer's packets are numbered wrongly. */
        record Misnumber() implements Fault {}
    }

    private final ServerSocket listening;
    private Thread accepting;
    private final String plugin;
    private final String switchTo;
    private final OrderTable table = new OrderTable();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final AtomicInteger logins = new AtomicInteger();
    private volatile Function<String, Fault> script = sql -> new Fault.None();

    private OrderDatabase(ServerSocket listening, String plugin, String switchTo) {
        this.listening = listening;
        this.plugin = plugin;
        this.switchTo = switchTo;
    }

    /**
     * One that listens on a free port of loopback.
     *
     * @param plugin how it greets: mysql_native_password or caching_sha2_password
     * @param switchTo the plugin that it then asks for after all; null for none
     */
    public static OrderDatabase start(String plugin, String switchTo) throws IOException {
        OrderDatabase database =
                new OrderDatabase(new ServerSocket(0, 256, InetAddress.getLoopbackAddress()), plugin, switchTo);
        database.accepting = daemon(database::accept);
        return database;
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "order-database");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.getLocalSocketAddress();
    }

    /** What goes wrong from now on, by the statement's text; "ping" and the like for commands without one. */
    public void script(Function<String, Fault> next) {
        script = next;
    }

    /** How often an order was inserted and committed. */
    public int inserts(String id) {
        return table.inserts(id);
    }

    /** The same of all orders. */
    public Map<String, Integer> inserts() {
        return table.inserts();
    }

    /** Clients that have logged in. */
    public int logins() {
        return logins.get();
    }

    /** Breaks all connections, as a process that ends; what was committed stays. */
    public void breakAll() throws IOException {
        for (Socket each : open) {
            each.close();
        }
    }

    /** Nobody comes up to it any more: the system takes connections until its thread is back from accept. */
    @Override
    public void close() throws IOException {
        listening.close();
        try {
            accepting.join();
        } catch (InterruptedException e) {
            throw new InterruptedIOException();
        }
        breakAll();
    }

    private void accept() {
        while (!listening.isClosed()) {
            try {
                Socket peer = listening.accept();
                open.add(peer);
                daemon(() -> serve(peer));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket peer) {
        try (peer) {
            peer.setTcpNoDelay(true);
            new Connection(peer).serve();
        } catch (IOException e) {
            // It left, or the script had it broken.
        } finally {
            open.remove(peer);
        }
    }

    // ---------------------------------------------------------------- one connection

    /** A statement that was prepared. */
    private record Prepared(String sql, int parameters, int[] types) {}

    private final class Connection {
        private final SqlPackets packets;
        private final Map<Integer, Prepared> prepared = new HashMap<>();
        private Session session = new Session();
        private long capabilities;
        private int lastStatement;

        Connection(Socket peer) throws IOException {
            packets = new SqlPackets(
                    new DataInputStream(new BufferedInputStream(peer.getInputStream())),
                    new BufferedOutputStream(peer.getOutputStream()));
        }

        void serve() throws IOException {
            if (!login()) {
                packets.flush();
                return;
            }
            logins.incrementAndGet();
            boolean more = true;
            while (more) {
                packets.flush();
                packets.begin();
                more = command(packets.read());
            }
        }

        private boolean login() throws IOException {
            byte[] nonce = nonce();
            packets.write(new Payload()
                    .num(10, 1)
                    .zeroed("8.4.0-standin")
                    .num(7, 4)
                    .raw(Arrays.copyOf(nonce, 8))
                    .num(0, 1)
                    .num(CAPABILITIES, 2)
                    .num(UTF8MB4, 1)
                    .num(2, 2)
                    .num(CAPABILITIES >> 16, 2)
                    .num(NONCE + 1, 1)
                    .raw(new byte[10])
                    .raw(Arrays.copyOfRange(nonce, 8, NONCE))
                    .num(0, 1)
                    .zeroed(plugin)
                    .done());
            packets.flush();
            Fields answer = new Fields(packets.read());
            capabilities = answer.num(4) & CAPABILITIES;
            answer.raw(4 + 1 + 23);
            String user = answer.zeroed();
            byte[] proof = answer.raw((capabilities & 1 << 21) == 0 ? answer.num(1) : answer.len());
            String asked = plugin;
            if ((capabilities & 1 << 3) != 0) {
                answer.zeroed();
            }
            String used = answer.isAtEnd() ? asked : answer.zeroed();
            if (switchTo != null || !used.equals(asked)) {
                asked = switchTo == null ? asked : switchTo;
                nonce = nonce();
                packets.write(new Payload()
                        .num(0xfe, 1)
                        .zeroed(asked)
                        .raw(nonce)
                        .num(0, 1)
                        .done());
                packets.flush();
                proof = packets.read();
            }
            if (!user.equals(USER) || !Arrays.equals(proof, proof(asked, nonce))) {
                error(1045, "28000", "Access denied for user '" + user + "'");
                return false;
            }
            if (asked.equals(SHA2)) {
                // The digest is known already: the fast path is done.
                packets.write(new byte[] {1, 3});
            }
            ok(0);
            return true;
        }

        private boolean command(byte[] payload) throws IOException {
            Fields in = new Fields(payload);
            int command = (int) in.num(1);
            packets.breakOff(Long.MAX_VALUE, Long.MAX_VALUE, 0);
            switch (command) {
                case 0x01:
                    return false;
                case 0x02:
                    run("use", () -> ok(0));
                    break;
                case 0x0e:
                    run("ping", () -> ok(0));
                    break;
                case 0x1f:
                    session = new Session();
                    prepared.clear();
                    run("reset", () -> ok(0));
                    break;
                case 0x1a:
                    in.num(4);
                    run("reset statement", () -> ok(0));
                    break;
                case 0x03:
                    String sql = in.rest();
                    run(sql, () -> give(sql, List.of(), false));
                    break;
                case 0x16:
                    String text = in.rest();
                    run("prepare " + text, () -> prepare(text));
                    break;
                case 0x17:
                    execute(in);
                    break;
                case 0x19:
                    prepared.remove((int) in.num(4));
                    break;
                default:
                    error(1047, "08S01", "Unknown command");
            }
            return true;
        }

        private void run(String what, Step effect) throws IOException {
            Fault fault = script.apply(what);
            if (fault instanceof Fault.Drop) {
                throw new SqlPackets.BrokenOffException();
            } else if (fault instanceof Fault.Error error) {
                error(error.code(), error.state(), error.message());
                return;
            } else if (fault instanceof Fault.BreakOff at) {
                packets.breakOff(at.packets(), at.bytes(), 0);
            } else if (fault instanceof Fault.Misnumber) {
                packets.breakOff(Long.MAX_VALUE, Long.MAX_VALUE, 5);
            }
            try {
                effect.run();
            } finally {
                packets.flush();
            }
        }

        private void prepare(String sql) throws IOException {
            int id = ++lastStatement;
            int parameters = OrderTable.parameters(sql);
            List<String> columns = OrderTable.columns(sql);
            prepared.put(id, new Prepared(sql, parameters, new int[parameters]));
            packets.write(new Payload()
                    .num(0, 1)
                    .num(id, 4)
                    .num(columns.size(), 2)
                    .num(parameters, 2)
                    .num(0, 1)
                    .num(0, 2)
                    .done());
            for (int i = 0; i < parameters; i++) {
                column("?");
            }
            if (parameters > 0) {
                eofIfUsed();
            }
            for (String column : columns) {
                column(column);
            }
            if (!columns.isEmpty()) {
                eofIfUsed();
            }
        }

        private void execute(Fields in) throws IOException {
            int id = (int) in.num(4);
            in.num(1 + 4);
            Prepared statement = prepared.get(id);
            if (statement == null) {
                run("execute unknown", () -> error(1243, "HY000", "Unknown prepared statement handler"));
                return;
            }
            List<String> values = new ArrayList<>();
            if (statement.parameters > 0) {
                byte[] nulls = in.raw((statement.parameters + 7) / 8);
                if (in.num(1) == 1) {
                    for (int i = 0; i < statement.parameters; i++) {
                        statement.types[i] = (int) in.num(2) & 0xff;
                    }
                }
                for (int i = 0; i < statement.parameters; i++) {
                    values.add((nulls[i / 8] >> i % 8 & 1) == 1 ? null : value(in, statement.types[i]));
                }
            }
            run(statement.sql, () -> give(statement.sql, values, true));
        }

        private static String value(Fields in, int type) {
            return switch (type) {
                case 1 -> Long.toString(in.num(1));
                case 2 -> Long.toString(in.num(2));
                case 3 -> Long.toString((int) in.num(4));
                case 8 -> Long.toString(in.num(8));
                default -> in.text();
            };
        }

        /** Runs a statement and writes what it gives, in rows of text or of the binary form. */
        private void give(String sql, List<String> values, boolean binary) throws IOException {
            Given given;
            try {
                given = table.run(session, sql, values);
            } catch (OrderTable.UnknownException e) {
                error(1064, "42000", e.getMessage());
                return;
            }
            if (given.columns().isEmpty()) {
                ok(given.changed());
                return;
            }
            packets.write(new Payload().len(given.columns().size()).done());
            for (String column : given.columns()) {
                column(column);
            }
            eofIfUsed();
            for (List<String> row : given.rows()) {
                Payload out = binary ? new Payload().num(0, 1).raw(new byte[(row.size() + 9) / 8]) : new Payload();
                row.forEach(out::text);
                packets.write(out.done());
            }
            if ((capabilities & DEPRECATE_EOF) != 0) {
                packets.write(new Payload()
                        .num(0xfe, 1)
                        .len(0)
                        .len(0)
                        .num(status(), 2)
                        .num(0, 2)
                        .done());
            } else {
                eofIfUsed();
            }
        }

        private void column(String name) throws IOException {
            packets.write(new Payload()
                    .text("def")
                    .text("shop")
                    .text("orders")
                    .text("orders")
                    .text(name)
                    .text(name)
                    .len(0x0c)
                    .num(UTF8MB4, 2)
                    .num(1024, 4)
                    .num(TEXT_TYPE, 1)
                    .num(0, 2)
                    .num(0, 1)
                    .num(0, 2)
                    .done());
        }

        private void eofIfUsed() throws IOException {
            if ((capabilities & DEPRECATE_EOF) == 0) {
                packets.write(
                        new Payload().num(0xfe, 1).num(0, 2).num(status(), 2).done());
            }
        }

        private int status() {
            return (session.isInTransaction() ? 1 : 0) | (session.isAutocommit() ? 2 : 0);
        }

        private void ok(int changed) throws IOException {
            packets.write(new Payload()
                    .num(0, 1)
                    .len(changed)
                    .len(0)
                    .num(status(), 2)
                    .num(0, 2)
                    .done());
        }

        private void error(int code, String state, String message) throws IOException {
            packets.write(new Payload()
                    .num(0xff, 1)
                    .num(code, 2)
                    .raw(("#" + state + message).getBytes(StandardCharsets.UTF_8))
                    .done());
        }
    }

    /** What a command does. */
    private interface Step {
        void run() throws IOException;
    }

    // ---------------------------------------------------------------- proofs

    /** Without zeros, which some drivers take for its end. */
    private static byte[] nonce() {
        byte[] nonce = new byte[NONCE];
        SecureRandom random = new SecureRandom();
        for (int i = 0; i < NONCE; i++) {
            nonce[i] = (byte) (1 + random.nextInt(126));
        }
        return nonce;
    }

    static byte[] proof(String plugin, byte[] nonce) {
        String algorithm = plugin.equals(NATIVE) ? "SHA-1" : "SHA-256";
        byte[] once = hash(algorithm, PASSWORD.getBytes(StandardCharsets.UTF_8));
        byte[] twice = hash(algorithm, once);
        byte[] mask = plugin.equals(NATIVE) ? hash(algorithm, nonce, twice) : hash(algorithm, twice, nonce);
        for (int i = 0; i < once.length; i++) {
            once[i] ^= mask[i];
        }
        return once;
    }

    private static byte[] hash(String algorithm, byte[]... parts) {
        try {
            MessageDigest hash = MessageDigest.getInstance(algorithm);
            for (byte[] part : parts) {
                hash.update(part);
            }
            return hash.digest();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
