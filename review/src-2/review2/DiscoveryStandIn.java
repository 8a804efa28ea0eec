package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A stand-in of discovery: a whole list first, then changes as they are made and an empty line every 2 s, as the protocol
 * page says. While it is down its watches have ended, and calls are answered 503.
 */
final class DiscoveryStandIn {
    private static final long HEARTBEAT_MS = 2_000;

    private final Lab lab;
    private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    private List<Target> targets;
    private long revision = 41;
    private final List<OutputStream> watches = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile boolean isDown;

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
            if (isDown) {
                out.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                return;
            }
            sockets.add(socket);
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

    /** Ends all watches, and answers no call from now on. */
    void goDown() {
        lab.note("discovery goes down");
        isDown = true;
        for (Socket socket : sockets) {
            try {
                socket.close();
            } catch (IOException e) {
                lab.note("a watch cannot be ended: " + e);
            }
        }
        sockets.clear();
        watches.clear();
    }

    /** Answers calls again. */
    void comeBack() {
        lab.note("discovery is back");
        isDown = false;
    }

    /** Lets these servers drain, and tells all watches. */
    void drain(List<String> uids) {
        push(applyDrain(uids));
    }

    private synchronized String applyDrain(List<String> uids) {
        revision++;
        List<String> changed = new ArrayList<>();
        targets = targets.stream()
                .map(target -> {
                    if (!uids.contains(target.uid())) {
                        return target;
                    }
                    Target draining = new Target(
                            target.uid(), target.endpoint(), target.group(), "Terminating", target.bootMs());
                    changed.add(draining.json());
                    return draining;
                })
                .toList();
        lab.note("discovery tells that " + uids + " drain");
        return "{\"rev\":" + revision + ",\"all\":false,\"targets\":[" + String.join(",", changed) + "]}";
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
