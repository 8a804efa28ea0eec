package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that what a node writes to a server is exactly the request that the client sent. */
class RequestFramingTest {
    /** A body that a server would take for a request if it were written without a length. */
    private static final String EMBEDDED_ORDER = Http.order("embedded", "900m");

    private static final String OBSOLETE_HANDSHAKE_KEYS = "Sec-WebSocket-Key1: a\r\nSec-WebSocket-Key2: b\r\n\r\n";

    private static String page(String txn) {
        return Http.page("/api/page", txn, "4000m");
    }

    private static String pageWith(String txn, String headersAndBody) {
        return page(txn).replace("\r\n\r\n", "\r\n" + headersAndBody);
    }

    /** Creates a server whose response names the request that it answers. */
    private static ScriptedServer echoingTxn() throws Exception {
        return new ScriptedServer(
                (request, peer) -> peer.write(Http.ok(request.headers().get("x-txn"))));
    }

    // Guards against the body of a GET reaching a server without a length: the server ran it as a request of its own,
    // and its response was served to the next client.
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length", "chunked", "chunked with trailers", "Expect: 100-continue"})
    void bodyOfSafeRequestIsRejectedAndReachesNoServer(String framing) throws Exception {
        String length = "Content-Length: " + EMBEDDED_ORDER.length() + "\r\n";
        String chunked = "Transfer-Encoding: chunked\r\n\r\n" + Site.chunk(EMBEDDED_ORDER) + "0\r\n";
        String headersAndBody =
                switch (framing) {
                    case "Content-Length" -> length + "\r\n" + EMBEDDED_ORDER;
                    case "chunked" -> chunked + "\r\n";
                    case "chunked with trailers" -> chunked + "X-Checksum: 1\r\n\r\n";
                    default -> length + framing + "\r\n\r\n" + EMBEDDED_ORDER;
                };
        try (ScriptedServer server = echoingTxn();
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Http.Message response = Site.ask(client, pageWith("with-body", headersAndBody));
            if (response.status() == 100) {
                response = Http.read(client.getInputStream());
            }
            assertEquals(400, response.status());
            for (String txn : new String[] {"next", "after-next"}) {
                Http.Message served = site.ask(page(txn));
                assertEquals(200, served.status());
                assertEquals(txn, served.body(), "the response to another request");
            }
            assertEquals(2, server.requests.size(), "requests that reached the server");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"})
    void safeRequestWithAnEmptyBodyIsServed(String headersAndBody) throws Exception {
        try (ScriptedServer server = echoingTxn();
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            for (String txn : new String[] {"first", "second"}) {
                Http.Message served = Site.ask(client, pageWith(txn, headersAndBody));
                assertEquals(200, served.status());
                assertEquals(txn, served.body());
            }
            assertEquals(2, server.requests.size(), "requests that reached the server");
        }
    }

    // Guards against a path that reaches the server changed: bytes beyond ASCII were encoded a second time.
    @ParameterizedTest
    @ValueSource(strings = {"/api/sch\u00fcler", "/api/\u65e5\u672c?name=\u00e9t\u00e9", "/api/%C3%BC?next=http://h/x"})
    void bytesOfThePathAreForwardedUnchanged(String uri) throws Exception {
        try (ScriptedServer server = echoingTxn();
                Site site = Site.quiet().start(server)) {
            assertEquals(200, site.ask(Http.page(uri, "t", "4000m")).status());
            assertEquals(
                    "GET " + uri + " HTTP/1.1",
                    ScriptedServer.next(server.requests).startLine());
        }
    }

    // Guards against a request that has come whole and has no answer in its time: the decoder waits for 8 bytes that
    // drafts of WebSocket had behind a GET with these headers.
    @Test
    void obsoleteWebSocketHandshakeIsRejectedWithoutWaitingForMore() throws Exception {
        try (ScriptedServer server = echoingTxn();
                Site site = Site.quiet().start(server)) {
            assertEquals(
                    400,
                    site.ask(pageWith("handshake", OBSOLETE_HANDSHAKE_KEYS)).status(),
                    "not 408 after 3 s");
            assertTrue(server.requests.isEmpty(), "requests that reached the server: " + server.requests);
        }
    }

    // Guards against the same 8 bytes being taken from a pipelined request and written to the server.
    @Test
    void bytesAfterAnObsoleteWebSocketHandshakeAreNotTakenForItsBody() throws Exception {
        try (ScriptedServer server = echoingTxn();
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Http.Message response =
                    Site.ask(client, pageWith("handshake", OBSOLETE_HANDSHAKE_KEYS) + page("pipelined"));
            assertEquals(400, response.status());
            assertEquals(-1, client.getInputStream().read(), "the connection closes");
            assertTrue(server.requests.isEmpty(), "requests that reached the server: " + server.requests);
        }
    }
}
