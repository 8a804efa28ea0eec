package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in for a server (a web box), as the page PROTOCOL describes it. Each answer names the box and the request that
 * it belongs to.
 */
class Box implements AutoCloseable {
    final String uid;
    final Record record;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Box(String uid, Record record) throws IOException {
        this.uid = uid;
        this.record = record;
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Kit.daemon("box " + uid, this::accept);
    }

    String endpoint() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Kit.daemon("box " + uid, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message request;
            while ((request = Http.read(in)) != null) {
                if (!answer(request, socket)) {
                    return;
                }
            }
        } catch (Http.MalformedException e) {
            record.line("box " + uid + " was sent what is no request, and answers 400: " + e.getMessage());
            try {
                write(socket, 400, "malformed");
            } catch (IOException gone) {
                // The sender has left.
            }
        } catch (IOException e) {
            // The node has given up the attempt.
        } finally {
            sockets.remove(socket);
        }
    }

    /**
     * Answers a request.
     *
     * @return whether the connection stays open
     */
    boolean answer(Http.Message request, Socket socket) throws IOException {
        String txn = request.header("X-Txn");
        if (txn.isEmpty()) {
            write(socket, 404, "no id");
            return true;
        }
        record.line("box " + uid + " runs " + describe(request));
        Kit.sleep(workMs(request));
        write(socket, 200, body(request));
        return true;
    }

    /** What a box answers to a request: its own name, and the request's id and path. */
    String body(Http.Message request) {
        return "box=" + uid + " txn=" + request.header("X-Txn") + " path=" + request.path();
    }

    static String describe(Http.Message request) {
        return request.method() + " " + request.path() + " txn=" + request.header("X-Txn") + " lane="
                + request.header("X-Lane");
    }

    long workMs(Http.Message request) {
        return switch (request.header("X-Lane")) {
            case "view-page" -> 18;
            case "add-photo" -> 22;
            default -> 32;
        };
    }

    static void write(Socket socket, int status, String body) throws IOException {
        write(socket, "HTTP/1.1 " + status + " -\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Ends as a process does: its connections are reset, and new ones are refused. */
    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
