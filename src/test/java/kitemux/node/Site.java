package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import kitemux.Balancer;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.Settings;
import kitemux.Balancer.Tenant;
import kitemux.ServiceQBalancer;
import kitemux.config.Json;
import kitemux.discovery.HostListReader;
import kitemux.engine.Log;
import kitemux.net.Addresses;
import kitemux.net.PollingLoop;

/** A node on loopback sockets, with the servers of its list and a discovery that the test scripts. */
final class Site implements AutoCloseable {
    private static final long FOLDER_TIMEOUT_MS = 20_000;

    final Settings settings = new Settings();
    final ScriptedServer discovery;
    final PollingLoop loop = Node.newLoop();
    int sockets = 256;
    long connIdleUs = 60_000_000;
    /** Folder for the state that processes of one node share. */
    Path folder = Path.of("");
    /** The management address; null for none. */
    InetSocketAddress operators;
    /** Creates the balancer; a test may replace it with a faulty one. */
    Function<Balancer.Actions, Balancer> module;
    /** Receives the node's log. */
    Log log = new StderrLog();

    Node node;
    private InetSocketAddress address;
    private final List<Socket> clients = new ArrayList<>();

    Site(ScriptedServer discovery) {
        this.discovery = discovery;
        module = actions -> new ServiceQBalancer(settings, 7, actions);
        settings.zones.add("here");
        settings.classes.add(requestClass("page", RetrySafety.SAFE, DedupScope.ALL));
        settings.classes.add(requestClass("photo", RetrySafety.KEYED, DedupScope.CELL));
        settings.classes.add(requestClass("order", RetrySafety.UNSAFE, DedupScope.ALL));
        settings.tenants.add(new Tenant("org", 0));
        settings.maxAttempts = 4;
        settings.cancellationAllowed = true;
        settings.maxRetryAfterUs = 250_000;
        settings.connectTimeoutUs = 5_000_000;
        settings.listOnRequest = true;
    }

    private static RequestClass requestClass(String name, RetrySafety repeat, DedupScope group) {
        return new RequestClass(name, 1_000_000, 0, 5_000_000, 1, 0, repeat, group, 1_200_000, false);
    }

    /** Creates a site whose discovery opens a watch and sends nothing on it. */
    static Site quiet() throws IOException {
        return new Site(new ScriptedServer((request, peer) -> peer.write(watchHead())));
    }

    /** Lets requests be served up to their deadline, since a slow machine may delay them beyond a shorter target. */
    Site withTargetLatencyAtDeadline() {
        settings.classes.replaceAll(c -> new RequestClass(
                c.name(),
                c.deadlineUs(),
                c.targetLatencyPerWork(),
                c.deadlineUs(),
                c.worth(),
                c.lateWorth(),
                c.retrySafety(),
                c.dedupScope(),
                c.dedupWindowUs(),
                c.stream()));
        return this;
    }

    static String watchHead() {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Formats a server list; each entry is id=endpoint=state. */
    static String list(int rev, boolean all, String... entries) {
        StringBuilder targets = new StringBuilder();
        for (String entry : entries) {
            String[] parts = entry.split("=");
            targets.append(targets.isEmpty() ? "" : ",")
                    .append("{\"uid\":\"")
                    .append(parts[0])
                    .append("\",\"endpoint\":\"")
                    .append(parts[1])
                    .append("\",\"az\":\"here\",\"pod_group\":0,\"state\":\"")
                    .append(parts[2])
                    .append("\",\"capacity_hint\":1.0,\"boot_ms\":0}");
        }
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + targets + "]}";
    }

    NodeConfig config(String known) throws Exception {
        return new NodeConfig(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                operators,
                Addresses.parse("discovery", discovery.endpoint()),
                7,
                sockets,
                Long.MAX_VALUE,
                connIdleUs,
                folder,
                HostListReader.read(Json.read(known.getBytes(StandardCharsets.UTF_8)), settings.zones, ""),
                settings);
    }

    /** Starts the node with the servers s0, s1, ... */
    Site start(ScriptedServer... servers) throws Exception {
        String[] entries = new String[servers.length];
        for (int i = 0; i < servers.length; i++) {
            entries[i] = "s" + i + "=" + servers[i].endpoint() + "=Ready";
        }
        return startKnowing(list(1, true, entries));
    }

    Site startKnowing(String known) throws Exception {
        node = new Node(config(known), loop, Node.Dependencies.system(loop, log, module));
        if (operators != null) {
            operators = (InetSocketAddress)
                    node.listenForOperators().sync().channel().localAddress();
        }
        address = (InetSocketAddress) node.start().sync().channel().localAddress();
        return this;
    }

    Socket connect() throws IOException {
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(20_000);
        clients.add(client);
        return client;
    }

    /**
     * Waits until no connection is accepted. The system closes the listener slightly later than the event loop does.
     */
    void awaitNoneTaken() {
        assertTimeoutPreemptively(
                Duration.ofSeconds(20),
                () -> assertThrows(IOException.class, () -> {
                    while (true) {
                        // Connections that stayed open could fill the listener's backlog.
                        connect().close();
                        Thread.yield();
                    }
                }));
    }

    /** Waits for real time to pass, which is what the case is about. */
    static void parkFor(long ms) {
        long deadlineNanos = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < deadlineNanos) {
            LockSupport.parkNanos(deadlineNanos - System.nanoTime());
        }
    }

    static Http.Message ask(Socket client, String request) throws IOException {
        write(client, request);
        return Http.read(client.getInputStream());
    }

    static void write(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Makes a management call on a new connection. */
    Http.Message call(String method, String path) throws IOException {
        return ask(callers(), method + " " + path + " HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n");
    }

    /** Opens a connection to the management address. */
    Socket callers() throws IOException {
        Socket caller = new Socket(operators.getAddress(), operators.getPort());
        caller.setSoTimeout(20_000);
        clients.add(caller);
        return caller;
    }

    /** Sends one request on a new connection and returns the response. */
    Http.Message ask(String request) throws IOException {
        return ask(connect(), request);
    }

    @Override
    public void close() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        discovery.close();
        try {
            assertTrue(node == null || node.closeSharedFolder(FOLDER_TIMEOUT_MS), "the folder is still written to");
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        loop.parent().shutdownGracefully();
    }
}
