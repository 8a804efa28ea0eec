package kitemux.scale;

import io.netty.util.NetUtil;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import kitemux.config.ConfigFormatter;
import kitemux.lab.ProcessGuard;

/**
 * A process of the node that serves, behind a guard: it ends with this process, however that ends.
 */
final class RealNode implements AutoCloseable {
    private static final int SOCKETS = 1_024;
    private static final long CONN_IDLE_US = 15_000_000;
    private final Process guard;
    private final long pid;
    private final InetSocketAddress address;
    private final double startS;

    private RealNode(Process guard, long pid, InetSocketAddress address, double startS) {
        this.guard = guard;
        this.pid = pid;
        this.address = address;
        this.startS = startS;
    }

    /**
     * Starts one and waits until it takes clients.
     *
     * @param known the servers that it begins with
     * @throws IOException if it does not start; the message holds what it said
     */
    static RealNode start(
            Commands commands,
            Sized size,
            InetSocketAddress listen,
            InetSocketAddress list,
            List<ConfigFormatter.Server> known,
            long seed,
            Path folder)
            throws IOException {
        String port = Integer.toString(listen.getPort());
        Path config = folder.resolve("node-" + port + ".json");
        Files.writeString(
                config,
                ConfigFormatter.formatNode(
                        new ConfigFormatter.NodeDescription(
                                "n0",
                                NetUtil.toSocketAddressString(listen),
                                NetUtil.toSocketAddressString(list),
                                Long.toHexString(seed),
                                SOCKETS,
                                0,
                                CONN_IDLE_US),
                        size.settings(0),
                        known));
        Path temporary = Files.createDirectories(folder.resolve("tmp-" + port));
        ProcessBuilder node = ProcessGuard.wrap(commands.node()).redirectErrorStream(true);
        node.environment().put("PROXY_CONFIG", config.toString());
        node.environment().put("TMPDIR", temporary.toString());
        long began = System.nanoTime();
        Process guard = node.start();
        BufferedReader lines = guard.inputReader();
        StringBuilder said = new StringBuilder();
        String line;
        while ((line = lines.readLine()) != null) {
            said.append(line).append('\n');
            if (line.contains("listening on")) {
                Thread rest = new Thread(() -> lines.lines().forEach(each -> {}), "node's log");
                rest.setDaemon(true);
                rest.start();
                long pid = guard.children()
                        .findFirst()
                        .map(ProcessHandle::pid)
                        .orElseThrow(() -> new IOException("a node has ended: " + said));
                return new RealNode(guard, pid, listen, (System.nanoTime() - began) / 1e9);
            }
        }
        guard.getOutputStream().close();
        throw new IOException("a node did not start: " + said);
    }

    InetSocketAddress address() {
        return address;
    }

    /** From its start until it took clients. */
    double startS() {
        return startS;
    }

    long pid() {
        return pid;
    }

    ProcessFigures figures() throws IOException {
        return ProcessFigures.of(pid);
    }

    /** Ends it at once, and waits until it has. */
    @Override
    public void close() throws IOException {
        guard.getOutputStream().close();
        try {
            if (!guard.waitFor(5, TimeUnit.SECONDS)) {
                throw new IOException("a node does not end: " + pid);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
