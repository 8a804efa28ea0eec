package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
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

/** A node on loopback sockets with the servers that its list names and a discovery that a test plays. */
final class Site implements AutoCloseable {
    final Settings settings = new Settings();
    final ScriptedServer discovery;
    final PollingLoop loop = Node.newLoop();
    int sockets = 256;
    long connIdleUs = 60_000_000;
    /** Where a process of the node leaves word for the next one. */
    Path folder = Path.of("");
    /** Where operators call; null for nowhere. */
    InetSocketAddress operators;
    /** The decision module; a test may put a faulty one in its place. */
    Function<Balancer.Actions, Balancer> module;
    /** Where the node says what operators are to know. */
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

    /** A site whose discovery opens a watch and says nothing on it. */
    static Site quiet() throws IOException {
        return new Site(new ScriptedServer((request, peer) -> peer.write(watchHead())));
    }

    static String watchHead() {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** A list whose entries are id=endpoint=state. */
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

    /** Waits until no connection is taken: the system closes the listener a moment after the loop has. */
    void awaitNoneTaken() {
        assertTimeoutPreemptively(
                Duration.ofSeconds(20),
                () -> assertThrows(IOException.class, () -> {
                    while (true) {
                        connect();
                        Thread.yield();
                    }
                }));
    }

    static Http.Message ask(Socket client, String request) throws IOException {
        write(client, request);
        return Http.read(client.getInputStream());
    }

    static void write(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** A call of an operator's, on a connection of its own. */
    Http.Message call(String method, String path) throws IOException {
        return ask(callers(), method + " " + path + " HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n");
    }

    /** A connection to where operators call. */
    Socket callers() throws IOException {
        Socket caller = new Socket(operators.getAddress(), operators.getPort());
        caller.setSoTimeout(20_000);
        clients.add(caller);
        return caller;
    }

    /** One request on a connection of its own. */
    Http.Message ask(String request) throws IOException {
        return ask(connect(), request);
    }

    @Override
    public void close() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        discovery.close();
        loop.parent().shutdownGracefully();
    }
}
