package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.UUID;

/** A client: it keeps its connection, sends one request at a time and waits for its answer. */
final class Clients {
    private Clients() {}

    /** Writes a request for a page of a school's yearbook. */
    static void writeViewPage(Lab lab, String name, Socket socket, String txn) throws IOException {
        lab.note(name + " sends " + txn);
        socket.getOutputStream()
                .write(("GET /api/page-7 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + txn
                                + "\r\nX-Lane: view-page\r\nX-Org: school-a\r\nX-Remaining: 400m\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Sends requests on one connection until it ends.
     *
     * @return the number of answers 200
     */
    static int useConnection(Lab lab, String name, Socket socket, long pauseMs) throws IOException {
        int served = 0;
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
            String txn = UUID.randomUUID().toString();
            writeViewPage(lab, name, socket, txn);
            Http.Message answer = Http.read(in);
            if (answer == null) {
                return served;
            }
            lab.note(name + " gets " + answer.status() + " for " + txn);
            served += answer.status() == 200 ? 1 : 0;
            if ("close".equalsIgnoreCase(answer.fields().get("connection"))) {
                return served;
            }
            try {
                Thread.sleep(pauseMs);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }
}
