package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a process that stays and serves nothing once its heap has run out. */
@Timeout(120)
class HeapExhaustionTest {
    /** Less than what the bodies of requests may take together. */
    private static final List<String> SMALL_HEAP = List.of("-Xms16m", "-Xmx24m");

    private static final int JVM_OUT_OF_MEMORY_EXIT_CODE = 3;

    @Test
    void processEndsWithOneLineWhenItsHeapRunsOut(@TempDir Path folder) throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                NodeProcess node = NodeProcess.startDeployed(folder, SMALL_HEAP, server)) {
            node.awaitListening();
            List<Socket> clients = new ArrayList<>();
            try {
                for (int i = 0; i < 8 && node.process.isAlive(); i++) {
                    Socket client = node.connect();
                    clients.add(client);
                    sendHalfOfLongBody(client);
                }
            } catch (IOException e) {
                // The process has ended and reset the connection.
            }
            assertTrue(node.process.waitFor(20, TimeUnit.SECONDS), "the process stays");
            assertEquals(JVM_OUT_OF_MEMORY_EXIT_CODE, node.process.exitValue(), () -> "its log: " + node.lines);
            assertEquals(
                    1,
                    node.lines.stream()
                            .filter(line -> line.contains("OutOfMemoryError"))
                            .count(),
                    () -> "its log: " + node.lines);
            for (Socket client : clients) {
                client.close();
            }
        }
    }

    private static void sendHalfOfLongBody(Socket client) throws IOException {
        Site.write(
                client,
                Http.order("t" + client.getLocalPort(), "9000m")
                        .replace("Length: 2\r\n\r\nab", "Length: 8000000\r\n\r\n"));
        byte[] part = new byte[64 << 10];
        for (int sent = 0; sent < 7_000_000; sent += part.length) {
            client.getOutputStream().write(part);
        }
    }
}
