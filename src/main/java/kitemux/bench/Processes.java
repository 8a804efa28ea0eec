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

/** Starts nodes of any build, each as its own deployment starts them. */
final class Processes {
    private final String pin;

    /** All on this processor, as taskset names it; empty for any. */
    Processes(String pin) {
        this.pin = pin;
    }

    /** A build's file with the two folders above it, by which builds are told apart. */
    static String name(Path jar) {
        int names = jar.toAbsolutePath().normalize().getNameCount();
        return jar.toAbsolutePath()
                .normalize()
                .subpath(Math.max(0, names - 3), names)
                .toString();
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** What is put before a command so that it runs where it should. */
    List<String> pinned() {
        return pin.isEmpty() ? List.of() : List.of("taskset", "-c", pin);
    }

    /** A command of a build, run as its own deployment says. */
    ProcessBuilder java(Path jar, String... arguments) throws IOException {
        return BuildCommand.create(pinned(), jar, arguments);
    }

    /** A relay of bytes, up. */
    Process relay(InetSocketAddress listen, InetSocketAddress box) throws IOException {
        Path own = Path.of(LoadBench.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .getPath());
        return started(java(own, "bench", "--as-relay", text(listen), text(box)), "relaying");
    }

    /** A node, up. */
    Process node(Path jar, InetSocketAddress listen, List<FixedResponseServer> boxes, Path folder) throws IOException {
        return started(nodeBuilder(jar, listen, boxes, folder), "listening");
    }

    /** A node, up, that keeps a journal of orders in a folder of its own and syncs it so. */
    Process journaling(Path jar, InetSocketAddress listen, List<FixedResponseServer> boxes, Path folder, String sync)
            throws IOException {
        ProcessBuilder builder = nodeBuilder(jar, listen, boxes, folder);
        builder.environment()
                .put(
                        "KITEMUX_SETTINGS",
                        Files.writeString(
                                        folder.resolve(sync + ".json"),
                                        "{\"orders\":{\"folder\":\"" + folder.resolve(sync) + "\",\"sync\":\"" + sync
                                                + "\",\"lateMs\":1000}}")
                                .toString());
        return started(builder, "listening");
    }

    /** A node that is to be started. */
    ProcessBuilder nodeBuilder(Path jar, InetSocketAddress listen, List<FixedResponseServer> boxes, Path folder)
            throws IOException {
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < boxes.size(); i++) {
            targets.append(i == 0 ? "" : ",")
                    .append("{\"uid\":\"b")
                    .append(i)
                    .append("\",\"endpoint\":\"")
                    .append(text(boxes.get(i).address()))
                    .append("\",\"az\":\"z\",\"pod_group\":0,\"state\":\"Ready\",\"boot_ms\":0}");
        }
        Path config = Files.createTempFile(folder, "node", ".json");
        Files.writeString(
                config,
                "{\"name\":\"n0\",\"listen\":\"" + text(listen)
                        + "\",\"discovery\":\"" + text(listen) + "\",\"seed\":\"1\",\"limits\":{\"sockets\":1024},"
                        + "\"known\":{\"rev\":1,"
                        + "\"all\":true,\"targets\":[" + targets
                        + "]},\"settings\":{\"zones\":[\"z\"],\"myZone\":\"z\","
                        + "\"membershipMode\":\"pushed\",\"limits\":{\"attemptsCap\":4,\"cancelling\":true},"
                        + "\"classes\":[{\"name\":\"page\",\"onTimeUs\":500000,\"giveUpUs\":1000000,"
                        + "\"repeat\":\"safe\"},{\"name\":\"order\",\"onTimeUs\":500000,\"giveUpUs\":1000000,"
                        + "\"repeat\":\"unsafe\"}]}}");
        ProcessBuilder builder = java(jar, "node");
        builder.environment().put("PROXY_CONFIG", config.toString());
        return builder;
    }

    private static Process started(ProcessBuilder builder, String said) throws IOException {
        Process process = builder.redirectErrorStream(true).start();
        BufferedReader lines = process.inputReader();
        StringBuilder all = new StringBuilder();
        String line;
        while ((line = lines.readLine()) != null) {
            all.append(line).append('\n');
            if (line.contains(said)) {
                Thread drain = new Thread(() -> lines.lines().forEach(l -> {}), "drain");
                drain.setDaemon(true);
                drain.start();
                return process;
            }
        }
        throw new IOException("a process did not start: " + all);
    }

    /** Takes a folder away with all that is in it. */
    static void deleteAll(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
