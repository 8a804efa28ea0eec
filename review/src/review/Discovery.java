package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for discovery where it is asked, as the page PROTOCOL describes it. */
final class Discovery implements AutoCloseable {
    private final Record record;
    private final ServerSocket listener;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Integer> changedAt = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private int rev = 40;
    private boolean down;
    /** When a call was last answered, or turned away, Unix time in ms; 0 before the first. */
    volatile long lastCallMs;

    private record Watch(Socket socket) {}

    Discovery(Record record) throws IOException {
        this.record = record;
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Kit.daemon("discovery", this::accept);
        Kit.daemon("discovery's heartbeat", () -> {
            while (!listener.isClosed()) {
                Kit.sleep(2_000);
                synchronized (this) {
                    new ArrayList<>(watches).forEach(watch -> tell(watch, "\n"));
                }
            }
        });
    }

    String endpoint() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Sets the state of a server, and tells all watches. */
    synchronized void set(Box box, int cell, String state, long bootMs) {
        rev++;
        entries.put(
                box.uid,
                "{\"uid\":\"" + box.uid + "\",\"endpoint\":\"" + box.endpoint()
                        + "\",\"az\":\"amman-room\",\"model\":\"std-box\",\"pod_group\":" + cell + ",\"state\":\"" + state
                        + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + "}");
        changedAt.put(box.uid, rev);
        record.line("discovery rev " + rev + ": " + box.uid + " is " + state + ", told on " + watches.size() + " watches");
        String line = list(false, List.of(entries.get(box.uid))) + "\n";
        new ArrayList<>(watches).forEach(watch -> tell(watch, line));
    }

    private String list(boolean all, List<String> targets) {
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + String.join(",", targets) + "]}";
    }

    /** The whole list, as the node last had it. */
    synchronized String known() {
        return list(true, new ArrayList<>(entries.values()));
    }

    /** While discovery is down its watches have ended, and calls end with 503. */
    synchronized void setDown(boolean isDown) {
        down = isDown;
        record.line(isDown ? "discovery goes down" : "discovery is back");
        if (isDown) {
            for (Watch watch : watches) {
                Kit.close(watch.socket);
            }
            watches.clear();
        }
    }

    private void tell(Watch watch, String line) {
        try {
            Box.write(watch.socket, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
        } catch (IOException e) {
            watches.remove(watch);
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Kit.daemon("discovery", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message call = Http.read(in);
            if (call == null || !answer(socket, call)) {
                socket.close();
                return;
            }
            // A watch lasts until its connection ends.
            while (in.read() >= 0) {}
            socket.close();
        } catch (IOException e) {
            Kit.close(socket);
        }
        synchronized (this) {
            watches.removeIf(watch -> watch.socket == socket);
        }
    }

    private synchronized boolean answer(Socket socket, Http.Message call) throws IOException {
        lastCallMs = System.currentTimeMillis();
        record.line("discovery is asked " + call.path() + (down ? ", answers 503" : ""));
        if (down) {
            Box.write(socket, 503, "");
            return false;
        }
        if (!call.path().contains("watch=1")) {
            Box.write(socket, 200, known());
            return false;
        }
        Watch watch = new Watch(socket);
        watches.add(watch);
        Box.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        int after = call.path().contains("after=") ? Integer.parseInt(call.path().split("after=")[1]) : -1;
        List<String> changes = new ArrayList<>();
        changedAt.forEach((uid, at) -> {
            if (at > after) {
                changes.add(entries.get(uid));
            }
        });
        tell(watch, (after < 0 ? known() : list(false, changes)) + "\n");
        return true;
    }

    @Override
    public synchronized void close() throws IOException {
        listener.close();
        setDown(true);
    }
}
