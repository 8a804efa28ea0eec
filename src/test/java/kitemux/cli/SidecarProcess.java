package kitemux.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A sidecar's process, what it says, and requests that go through it. */
final class SidecarProcess {
    private final HttpClient client = HttpClient.newHttpClient();
    private final BlockingQueue<String> said = new LinkedBlockingQueue<>();
    final Process process;
    private final int port;
    private int asked;

    /**
     * @param port at which it is described to listen
     * @param more arguments behind those that every sidecar has
     */
    SidecarProcess(Path description, int port, String... more) throws IOException {
        this.port = port;
        List<String> command = new ArrayList<>(List.of(
                ProcessHandle.current().info().command().orElseThrow(),
                "-Xmx64m",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "sidecar",
                "--app",
                description.toString(),
                "--look",
                "20"));
        command.addAll(List.of(more));
        process = new ProcessBuilder(command).redirectErrorStream(true).start();
        Thread reader = new Thread(this::read, "said");
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        try (BufferedReader lines = process.inputReader()) {
            String line;
            while ((line = lines.readLine()) != null) {
                said.add(line);
            }
        } catch (IOException e) {
            // It was ended while it was read: nothing more is said.
        }
    }

    /** A port that nobody has now. */
    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket()) {
            free.bind(new InetSocketAddress("127.0.0.1", 0));
            return free.getLocalPort();
        }
    }

    /** Waits until it says a line that holds this; the line. */
    String await(String part) throws InterruptedException {
        StringBuilder all = new StringBuilder();
        String line;
        do {
            line = said.poll(30, TimeUnit.SECONDS);
            all.append(line).append('\n');
            assertTrue(line != null, () -> "never said " + part + ", but\n" + all);
        } while (!line.contains(part));
        return line;
    }

    /** One answer, whatever it is. */
    HttpResponse<String> ask() throws IOException, InterruptedException {
        return client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/api/page"))
                        .header("X-Txn", "t" + asked++)
                        .header("X-Lane", "view-page")
                        .header("X-Remaining", "5000m")
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** What so many answers that must be good hold. */
    Set<String> answers(int count) throws IOException, InterruptedException {
        Set<String> bodies = new HashSet<>();
        for (int i = 0; i < count; i++) {
            HttpResponse<String> answer = ask();
            assertEquals(200, answer.statusCode());
            bodies.add(answer.body());
        }
        return bodies;
    }

    /** Its exit code, once it has ended by itself or been told to. */
    int exit() throws InterruptedException {
        assertTrue(process.waitFor(20, TimeUnit.SECONDS), "it does not end");
        return process.exitValue();
    }

    /** Ends it at once. */
    void close() throws InterruptedException {
        process.destroyForcibly().waitFor(20, TimeUnit.SECONDS);
    }
}
