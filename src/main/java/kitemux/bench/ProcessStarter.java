package kitemux.bench;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import kitemux.standin.BuildCommand;
import kitemux.standin.FixedResponseServer;

/** Starts nodes of any build, each with the flags of its own deployment, and relays. */
final class ProcessStarter {
    /** Number of path elements in the name of a build: its file and the two folders above it. */
    private static final int BUILD_NAME_ELEMENT_COUNT = 3;

    private static final String NODE_IS_UP = "listening";
    private static final String RELAY_IS_UP = "relaying";

    private final String cpu;

    /** Creates a starter whose processes run on this processor, in taskset's notation; empty for any. */
    ProcessStarter(String cpu) {
        this.cpu = cpu;
    }

    /** Returns a short name of a build, which distinguishes it from others. */
    static String buildName(Path jar) {
        Path path = jar.toAbsolutePath().normalize();
        int count = path.getNameCount();
        return path.subpath(Math.max(0, count - BUILD_NAME_ELEMENT_COUNT), count)
                .toString();
    }

    private static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Returns the prefix of a command that pins it to the processor; empty if it may run on any. */
    List<String> affinityPrefix() {
        return cpu.isEmpty() ? List.of() : List.of("taskset", "-c", cpu);
    }

    /** Returns a process builder for a command of a build. */
    ProcessBuilder command(Path jar, String... arguments) throws IOException {
        return BuildCommand.create(affinityPrefix(), jar, arguments);
    }

    /** Starts a TCP relay and waits until it listens. */
    Process startRelay(InetSocketAddress listen, InetSocketAddress target) throws IOException {
        Path ownJar = Path.of(ProcessStarter.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .getPath());
        return startAndAwait(command(ownJar, "bench", "--as-relay", format(listen), format(target)), RELAY_IS_UP);
    }

    /** Starts a node and waits until it listens. */
    Process startNode(Path jar, InetSocketAddress listen, List<FixedResponseServer> servers, Path folder)
            throws IOException {
        return startAndAwait(nodeBuilder(jar, listen, servers, folder), NODE_IS_UP);
    }

    /** Starts a node with an order journal in a folder of its own and waits until it listens. */
    Process startNodeWithJournal(
            Path jar, InetSocketAddress listen, List<FixedResponseServer> servers, Path folder, String syncPolicy)
            throws IOException {
        Path settings = Files.writeString(
                folder.resolve(syncPolicy + ".json"),
                "{\"orders\":{\"folder\":\"" + folder.resolve(syncPolicy) + "\",\"sync\":\"" + syncPolicy
                        + "\",\"lateMs\":1000}}");
        ProcessBuilder builder = nodeBuilder(jar, listen, servers, folder);
        builder.environment().put("KITEMUX_SETTINGS", settings.toString());
        return startAndAwait(builder, NODE_IS_UP);
    }

    /** Returns a process builder for a node that forwards to these servers. */
    ProcessBuilder nodeBuilder(Path jar, InetSocketAddress listen, List<FixedResponseServer> servers, Path folder)
            throws IOException {
        List<InetSocketAddress> addresses =
                servers.stream().map(FixedResponseServer::address).toList();
        Path config = Files.createTempFile(folder, "node", ".json");
        Files.writeString(
                config,
                "{\"name\":\"n0\",\"listen\":\"" + format(listen)
                        + "\",\"discovery\":\"" + format(listen) + "\",\"seed\":\"1\",\"limits\":{\"sockets\":1024},"
                        + "\"known\":" + serverList(addresses) + ",\"settings\":{\"zones\":[\"z\"],\"myZone\":\"z\","
                        + "\"membershipMode\":\"pushed\",\"limits\":{\"attemptsCap\":4,\"cancelling\":true},"
                        + "\"classes\":[{\"name\":\"page\",\"onTimeUs\":500000,\"giveUpUs\":1000000,"
                        + "\"repeat\":\"safe\"},{\"name\":\"order\",\"onTimeUs\":500000,\"giveUpUs\":1000000,"
                        + "\"repeat\":\"unsafe\"}]}}");
        ProcessBuilder builder = command(jar, "node");
        builder.environment().put("PROXY_CONFIG", config.toString());
        return builder;
    }

    /** Returns the server list of a node's configuration, with the servers b0, b1 and so on. */
    static String serverList(List<InetSocketAddress> servers) {
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < servers.size(); i++) {
            targets.append(i == 0 ? "" : ",")
                    .append("{\"uid\":\"b")
                    .append(i)
                    .append("\",\"endpoint\":\"")
                    .append(format(servers.get(i)))
                    .append("\",\"az\":\"z\",\"pod_group\":0,\"state\":\"Ready\",\"boot_ms\":0}");
        }
        return "{\"rev\":1,\"all\":true,\"targets\":[" + targets + "]}";
    }

    /**
     * Starts a process and waits until a line of its output contains this text. The rest of its output is discarded, so
     * that a full pipe does not block it.
     *
     * @throws IOException if it ends before
     */
    static Process startAndAwait(ProcessBuilder builder, String text) throws IOException {
        Process process = builder.redirectErrorStream(true).start();
        BufferedReader lines = process.inputReader();
        StringBuilder output = new StringBuilder();
        String line;
        while ((line = lines.readLine()) != null) {
            output.append(line).append('\n');
            if (line.contains(text)) {
                Thread drain = new Thread(() -> discard(lines), "drain");
                drain.setDaemon(true);
                drain.start();
                return process;
            }
        }
        throw new IOException("a process did not start: " + output);
    }

    private static void discard(BufferedReader lines) {
        try {
            while (lines.readLine() != null) {
                // The output is not used.
            }
        } catch (IOException e) {
            // The process was killed.
        }
    }

    /** Deletes a folder with all that it contains. */
    static void deleteRecursively(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
