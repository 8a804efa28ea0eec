package kitemux.standin;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * A MySQL server with one table of orders, for tests. It authenticates clients, runs text and prepared statements, injects
 * the faults of a script, and counts the committed inserts of each order. It has a thread for each connection and no TLS.
 */
public final class OrderDatabase implements AutoCloseable {
    /** The only user. */
    public static final String USER = "records";
    /** The password of {@link #USER}. */
    public static final String PASSWORD = "yearbook";

    private static final int BACKLOG = 256;

    /** A fault that a script injects into a command. */
    public sealed interface Fault {
        /** No fault. */
        record None() implements Fault {}

        /** The connection closes before the command takes effect. */
        record Drop() implements Fault {}

        /** The command takes effect, and its response is cut off after this many packets or bytes. */
        record CutOff(long packets, long bytes) implements Fault {}

        /** The command has no effect and gets an error. */
        record Error(int code, String state, String message) implements Fault {}

        /** The command takes effect, and the packets of its response have wrong sequence numbers. */
        record WrongSequenceNumbers() implements Fault {}
    }

    private final ServerSocket listener;
    private Thread acceptThread;
    private final String plugin;
    private final String switchPlugin;
    private final OrderTable table = new OrderTable();
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger logins = new AtomicInteger();
    private volatile Function<String, Fault> script = sql -> new Fault.None();

    private OrderDatabase(ServerSocket listener, String plugin, String switchPlugin) {
        this.listener = listener;
        this.plugin = plugin;
        this.switchPlugin = switchPlugin;
    }

    /**
     * Starts a database on a free loopback port.
     *
     * @param plugin authentication plugin of the greeting: mysql_native_password or caching_sha2_password
     * @param switchPlugin plugin to which clients are asked to switch, or null
     * @throws IOException if it cannot listen
     */
    public static OrderDatabase start(String plugin, String switchPlugin) throws IOException {
        ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        OrderDatabase database = new OrderDatabase(listener, plugin, switchPlugin);
        database.acceptThread = startDaemon(database::accept);
        return database;
    }

    private static Thread startDaemon(Runnable task) {
        Thread thread = new Thread(task, "order-database");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Returns the address at which it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /**
     * Sets the script that chooses the fault of each command from now on, by the statement's text, or by a name such as
     * "ping" for a command without one.
     */
    public void setScript(Function<String, Fault> nextScript) {
        script = nextScript;
    }

    /** Returns how often an order was inserted and committed. */
    public int inserts(String id) {
        return table.inserts(id);
    }

    /** Returns how often each order was inserted and committed. */
    public Map<String, Integer> inserts() {
        return table.inserts();
    }

    /** Returns the number of successful logins. */
    public int logins() {
        return logins.get();
    }

    /** Closes all connections as the end of the process would; committed orders are kept. */
    public void disconnectAll() throws IOException {
        for (Socket socket : openSockets) {
            socket.close();
        }
    }

    /**
     * Closes the listener and all connections. The system goes on accepting connections until the accept thread has
     * ended, so this waits for it.
     */
    @Override
    public void close() throws IOException {
        listener.close();
        try {
            acceptThread.join();
        } catch (InterruptedException e) {
            throw new InterruptedIOException();
        }
        disconnectAll();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                openSockets.add(client);
                startDaemon(() -> serve(client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket client) {
        try (client) {
            client.setTcpNoDelay(true);
            new OrderDatabaseConnection(client, plugin, switchPlugin, table, sql -> script.apply(sql))
                    .serve(logins::incrementAndGet);
        } catch (IOException e) {
            // The client has disconnected, or the script closed the connection.
        } finally {
            openSockets.remove(client);
        }
    }
}
