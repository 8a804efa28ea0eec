package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import kitemux.soak.TcpMemoryPressure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against long answers that are cut off because the system, short of memory for TCP, drops input of sockets that hold
 * more than their even part of it: a node takes that for a silent server. The test makes the system short by itself.
 */
@Timeout(120)
class TcpMemoryPressureTest {
    private static final int STREAM_COUNT = 100;
    private static final int LENGTH = 16 << 20;
    private static final int CLIENT_BUFFER_BYTES = 64 << 10;
    private static final int BYTES_PER_MS = 64;
    private static final int READ_BYTES = 8 << 10;
    private static final long PLAY_SECONDS = 25;
    private static final int SERVER_COUNT = 4;

    /** A client that takes a long answer slowly until the latch opens. */
    private record SlowClient(NodeProcess node, int number, CountDownLatch isOver, AtomicInteger cutOffs) {
        void run() {
            int takenBytes = 0;
            try (Socket client = node.connect()) {
                client.setReceiveBufferSize(CLIENT_BUFFER_BYTES);
                Site.write(client, Http.page("/api/long", "t" + number, "1000m"));
                InputStream in = client.getInputStream();
                byte[] buffer = new byte[READ_BYTES];
                int count;
                while ((count = in.read(buffer)) > 0) {
                    takenBytes += count;
                    if (isOver.await(count / BYTES_PER_MS, TimeUnit.MILLISECONDS)) {
                        return;
                    }
                }
            } catch (IOException e) {
                // Counted below.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            cutOffs.addAndGet(takenBytes < LENGTH ? 1 : 0);
        }
    }

    @Test
    void longAnswersGoOnWhileSystemIsShortOfMemoryForTcp(@TempDir Path folder) throws Exception {
        byte[] answer = ("HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n" + "y".repeat(LENGTH))
                .getBytes(StandardCharsets.US_ASCII);
        ScriptedServer[] servers = new ScriptedServer[SERVER_COUNT];
        for (int i = 0; i < servers.length; i++) {
            servers[i] = new ScriptedServer(
                    (request, peer) -> peer.socket().getOutputStream().write(answer));
        }
        CountDownLatch isOver = new CountDownLatch(1);
        AtomicInteger cutOffs = new AtomicInteger();
        try (NodeProcess node = NodeProcess.startDeployed(folder, List.of(), servers);
                TcpMemoryPressure pressure = new TcpMemoryPressure()) {
            node.awaitListening();
            for (int i = 0; i < STREAM_COUNT; i++) {
                Thread client = new Thread(new SlowClient(node, i, isOver, cutOffs)::run, "client " + i);
                client.setDaemon(true);
                client.start();
                Site.parkFor(10);
            }
            Site.parkFor(TimeUnit.SECONDS.toMillis(PLAY_SECONDS));
            assertTrue(pressure.isShort(), "the system is short of memory for TCP");
            assertEquals(0, cutOffs.get(), "answers cut off while their servers still gave them");
        } finally {
            isOver.countDown();
            for (ScriptedServer server : servers) {
                server.close();
            }
        }
    }
}
