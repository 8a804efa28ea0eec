package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A stand-in of discovery: a whole list first, then an empty line every 2 s, as the protocol page says. */
final class DiscoveryStandIn {
    private static final long HEARTBEAT_MS = 2_000;

    private final Lab lab;
    private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    private List<Target> targets;
    private long revision = 41;
    private final List<OutputStream> watches = new CopyOnWriteArrayList<>();

    /** A server as discovery lists it. */
    record Target(String uid, String endpoint, int group, String state, long bootMs) {
        String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint
                    + "\",\"az\":\"amman-room\",\"model\":\"std-box\",\"pod_group\":" + group + ",\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + "}";
        }
    }

    DiscoveryStandIn(Lab lab, List<Target> targets) throws IOException {
        this.lab = lab;
        this.targets = targets;
        Lab.daemon(this::acceptAll);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    synchronized String list() {
        StringBuilder text = new StringBuilder("{\"rev\":" + revision + ",\"all\":true,\"targets\":[");
        for (int i = 0; i < targets.size(); i++) {
            text.append(i == 0 ? "" : ",").append(targets.get(i).json());
        }
        return text + "]}";
    }

    private void acceptAll() {
        while (true) {
            try {
                Socket accepted = listener.accept();
                Lab.daemon(() -> serve(accepted));
            } catch (IOException e) {
                lab.note("discovery cannot accept: " + e);
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Http.Message call = Http.read(new BufferedInputStream(socket.getInputStream()));
            lab.note("discovery is called: " + (call == null ? "nothing" : call.firstLine()));
            OutputStream out = socket.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            writeChunk(out, list() + "\n");
            watches.add(out);
            while (true) {
                Thread.sleep(HEARTBEAT_MS);
                writeChunk(out, "\n");
            }
        } catch (IOException | InterruptedException e) {
            lab.note("a watch has ended");
        }
    }

    /** Writes a line to all open watches. */
    void push(String line) {
        for (OutputStream watch : watches) {
            try {
                writeChunk(watch, line + "\n");
            } catch (IOException e) {
                watches.remove(watch);
            }
        }
    }

    private static void writeChunk(OutputStream out, String text) throws IOException {
        synchronized (out) {
            writeLocked(out, text);
        }
    }

    private static void writeLocked(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }
}
