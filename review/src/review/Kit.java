package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What all cases share: free ports, threads, and one real node started with the line run of the deploy file. */
final class Kit {
    /** Whether the disruption takes place. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private Kit() {}

    static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** A new id of a request: 16 hex digits. */
    static String txn(Random random) {
        return String.format("%016x", random.nextLong());
    }

    /** The settings of a small deployment: those of the example on the page WIRE, for one node. */
    static String settings() {
        return "{\"balancers\":1,\"callers\":{\"marksRetry\":true},\"classes\":["
                + requestClass("view-page", "safe", "all", 500_000, 100_000, 1, 5_000_000) + ","
                + requestClass("add-photo", "keyed", "cell", 600_000, 200_000, 5, 1_200_000) + ","
                + requestClass("place-order", "unsafe", "all", 1_000_000, 300_000, 5, 5_000_000)
                + "],\"costs\":{\"connection\":0.03,\"crossZone\":0.0,\"handshake\":0.03,\"lateFail\":0.03,"
                + "\"membershipMode\":0.0,\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.05,\"waste\":0.02},"
                + "\"countedBy\":\"request\",\"extra\":{\"warmKeys\":false},\"goal\":{\"whole\":0.35,\"worstClass\":0.2,"
                + "\"worstTenant\":0.1,\"worstWindow\":0.35},\"kinds\":[\"std-box\",\"old-box\"],\"layers\":[\"book-web\"],"
                + "\"limits\":{\"attemptsCap\":4,\"cancelling\":true,\"connIdleUs\":60000000,\"cpuUsPerRequest\":0.0,"
                + "\"cpuUsPerS\":14795,\"dialTimeoutUs\":50000,\"maxOpen\":36989,\"maxRetryAfterUs\":1000000,"
                + "\"parallelTries\":true,\"peerMessages\":false,\"probes\":true,\"retryAfter\":true,"
                + "\"streamsPerConn\":100},\"me\":0,\"membershipMode\":\"on_request\",\"myZone\":\"amman-room\","
                + "\"overShareWorth\":0.1,\"quantumUs\":2000,\"realms\":["
                + "{\"name\":\"school-a\",\"quotaPerS\":85.0,\"share\":0.5},"
                + "{\"name\":\"school-b\",\"quotaPerS\":73.0,\"share\":0.5}],"
                + "\"report\":{\"fields\":[],\"via\":\"none\"},\"rules\":{\"askWithinUs\":10000000,\"coldFrom\":0.12,"
                + "\"coldUs\":23000000,\"drainGraceUs\":500000,\"fallUs\":2000000,\"graceToAnswerUs\":8000,"
                + "\"overloadFactor\":4.0},\"serviceType\":\"proxy\",\"tier\":0,\"weights\":\"rough\","
                + "\"zones\":[\"amman-room\"]}";
    }

    private static String requestClass(
            String name, String repeat, String group, int giveUpUs, int onTimeUs, int importance, int windowUs) {
        return "{\"giveUpUs\":" + giveUpUs + ",\"group\":\"" + group + "\",\"importance\":" + importance
                + ",\"lateWorth\":0.0,\"name\":\"" + name + "\",\"onTimeUs\":" + onTimeUs + ",\"repeat\":\"" + repeat
                + "\",\"stream\":false,\"windowUs\":" + windowUs + "}";
    }

    /** One real node. */
    static final class Node implements AutoCloseable {
        final int port = freePort();
        final int mgmtPort;
        final Process process;
        private final Path folder;
        private final Record record;

        /**
         * Starts a node and waits until it says that it is up.
         *
         * @param withMgmt whether it has the second address, for operators
         */
        Node(Path caseFolder, Discovery discovery, Record record, boolean withMgmt) throws IOException {
            this.record = record;
            mgmtPort = withMgmt ? freePort() : 0;
            folder = Files.createTempDirectory("review");
            Path tmp = Files.createDirectory(folder.resolve("tmp"));
            String listen = "127.0.0.1:" + port;
            String mgmt = withMgmt ? "127.0.0.1:" + mgmtPort : "";
            Path config = folder.resolve("config.json");
            Files.writeString(
                    config,
                    "{\"name\":\"n0\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery.endpoint()
                            + "\",\"seed\":\"8c1f30d27a5be964\","
                            + (withMgmt ? "\"mgmt\":\"" + mgmt + "\"," : "")
                            + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":"
                            + discovery.known() + ",\"settings\":" + settings() + "}");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine());
            builder.environment().put("PROXY_NAME", "n0");
            builder.environment().put("PROXY_LISTEN", listen);
            builder.environment().put("PROXY_DISCOVERY", discovery.endpoint());
            builder.environment().put("PROXY_CONFIG", config.toString());
            builder.environment().put("TMPDIR", tmp.toString());
            if (withMgmt) {
                builder.environment().put("PROXY_MGMT", mgmt);
            }
            builder.redirectErrorStream(true).redirectOutput(caseFolder.resolve("node.log").toFile());
            process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
            record.line("node started, process " + process.pid());
            long untilMs = System.currentTimeMillis() + 30_000;
            while (!isUp()) {
                if (!process.isAlive() || System.currentTimeMillis() > untilMs) {
                    throw new IOException("the node is not up within 30 s");
                }
                sleep(50);
            }
            record.line("node is up");
        }

        /** The line run of the deploy file; the current folder is the root. */
        private static String runLine() throws IOException {
            for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    return line.substring(7, line.lastIndexOf('"'));
                }
            }
            throw new IOException("deploy/balancer.toml has no line run");
        }

        private boolean isUp() {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(2_000);
                Box.write(socket, "GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n");
                Http.Message answer = Http.read(socket.getInputStream());
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        /** An operator's call; returns the status. */
        int call(String method, String path) throws IOException {
            try (Socket socket = new Socket("127.0.0.1", mgmtPort)) {
                socket.setSoTimeout(5_000);
                Box.write(socket, method + " " + path + " HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n");
                Http.Message answer = Http.read(socket.getInputStream());
                int status = answer == null ? 0 : answer.status();
                record.line("operator: " + method + " " + path + " -> " + status);
                return status;
            }
        }

        @Override
        public void close() throws IOException {
            if (!process.isAlive()) {
                record.line("the node had ended, exit code " + process.exitValue());
            }
            process.destroy();
            try {
                if (!process.waitFor(5, TimeUnit.SECONDS)) {
                    process.destroyForcibly().waitFor();
                }
            } catch (InterruptedException e) {
                process.destroyForcibly();
            }
            try (Stream<Path> files = Files.walk(folder)) {
                List<Path> deepestFirst = new ArrayList<>(files.sorted(Comparator.reverseOrder()).toList());
                for (Path file : deepestFirst) {
                    Files.delete(file);
                }
            }
        }
    }

    /** A client with one connection, which it keeps while the node does. */
    static final class Client implements AutoCloseable {
        private final int port;
        private Socket socket;

        Client(int port) {
            this.port = port;
        }

        /** Whether the next request opens a connection. */
        boolean isNew() {
            return socket == null || socket.isClosed();
        }

        /**
         * Sends a request and reads its answer.
         *
         * @return the answer, or null if the connection ended without one
         */
        Http.Message ask(String method, String path, String txn, String lane, String org, long remainingMs,
                Map<String, String> more, String body) throws IOException {
            if (isNew()) {
                socket = new Socket("127.0.0.1", port);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout((int) remainingMs + 2_000);
            }
            StringBuilder request = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: "
                    + txn + "\r\nX-Lane: " + lane + "\r\nX-Org: " + org + "\r\nX-Remaining: " + remainingMs + "m\r\n");
            more.forEach((name, value) -> request.append(name).append(": ").append(value).append("\r\n"));
            if (body != null) {
                request.append("Content-Length: ").append(body.length()).append("\r\n");
            }
            try {
                Box.write(socket, request + "\r\n" + (body == null ? "" : body));
                Http.Message answer = Http.read(socket.getInputStream());
                if (answer == null || answer.closes()) {
                    socket.close();
                }
                return answer;
            } catch (IOException e) {
                socket.close();
                throw e;
            }
        }

        @Override
        public void close() {
            if (socket != null) {
                Kit.close(socket);
            }
        }
    }

    /** A case, which returns its exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
    interface Case {
        int play(Path folder, Record record) throws Exception;
    }

    /** Plays a case in its folder and ends the process with its exit code. */
    static void play(String folder, Case played) {
        Path path = Path.of(folder);
        Record record = new Record(path.resolve("record.txt"));
        daemon("watchdog", () -> {
            sleep(110_000);
            record.say("the case took too long and could not run");
            System.exit(2);
        });
        int code;
        try {
            code = played.play(path, record);
        } catch (Exception e) {
            record.say("the case failed: " + e);
            code = 2;
        }
        record.say(code == 1 ? "the rule was broken" : code == 0 ? "the rule held" : "the case could not run");
        record.close();
        System.exit(code);
    }
}
