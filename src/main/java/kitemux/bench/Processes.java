package kitemux.bench;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import kitemux.standin.BoxServer;

/** Starts nodes of any build, with the flags that the deployment gives them. */
final class Processes {
    private static final Pattern RUN = Pattern.compile("^run = \"exec java (.*) -jar ", Pattern.MULTILINE);

    private final String pin;

    /** All on this processor, as taskset names it; empty for any. */
    Processes(String pin) {
        this.pin = pin;
    }

    static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) free.getLocalSocketAddress();
        }
    }

    /** A build's file with the folder that it is in. */
    static String name(Path jar) {
        return (jar.getNameCount() > 1 ? jar.subpath(jar.getNameCount() - 2, jar.getNameCount())
                : jar).toString();
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** What is put before a command so that it runs where it should. */
    List<String> pinned() {
        return pin.isEmpty() ? List.of() : List.of("taskset", "-c", pin);
    }

    private List<String> java(Path jar) throws IOException {
        List<String> command = new ArrayList<>(pinned());
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        Path deploy = Path.of("deploy", "balancer.toml");
        Matcher run = RUN.matcher(Files.exists(deploy) ? Files.readString(deploy) : "");
        if (run.find()) {
            for (String flag : run.group(1).split(" ")) {
                if (!flag.startsWith("-XX:SharedArchiveFile")) {
                    command.add(flag);
                }
            }
            command.add("-XX:SharedArchiveFile=" + jar.resolveSibling("kitemux.jsa"));
        }
        command.addAll(List.of("-jar", jar.toString()));
        return command;
    }

    /** A relay of bytes, up. */
    Process relay(InetSocketAddress listen, InetSocketAddress box) throws IOException {
        List<String> command =
                java(Path.of(LoadBench.class.getProtectionDomain().getCodeSource().getLocation()
                .getPath()));
        command.addAll(List.of("bench", "--as-relay", text(listen), text(box)));
        return started(new ProcessBuilder(command), "relaying");
    }

    /** A node, up. */
    Process node(Path jar, InetSocketAddress listen, List<BoxServer> boxes, Path folder) throws IOException {
        return started(nodeBuilder(jar, listen, boxes, folder), "listening");
    }

    /** A node that is to be started. */
    ProcessBuilder nodeBuilder(Path jar, InetSocketAddress listen, List<BoxServer> boxes, Path folder)
            throws IOException {
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < boxes.size(); i++) {
            targets.append(i == 0 ? "" : ",").append("{\"uid\":\"b").append(i).append("\",\"endpoint\":\"")
                    .append(text(boxes.get(i).address()))
                    .append("\",\"az\":\"z\",\"pod_group\":0,\"state\":\"Ready\",\"boot_ms\":0}");
        }
        Path config = Files.createTempFile(folder, "node", ".json");
        Files.writeString(config, "{\"name\":\"n0\",\"listen\":\"" + text(listen)
                + "\",\"discovery\":\"127.0.0.1:9\",\"seed\":\"1\",\"limits\":{\"sockets\":1024},"
                + "\"known\":{\"rev\":1,"
                + "\"all\":true,\"targets\":[" + targets
                        + "]},\"settings\":{\"zones\":[\"z\"],\"myZone\":\"z\","
                + "\"membershipMode\":\"pushed\",\"limits\":{\"attemptsCap\":4,\"cancelling\":true},"
                + "\"classes\":[{\"name\":\"page\",\"onTimeUs\":500000,\"giveUpUs\":1000000,"
                + "\"repeat\":\"safe\"}]}}");
        List<String> command = java(jar);
        command.add("node");
        ProcessBuilder builder = new ProcessBuilder(command);
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
                Thread drain = new Thread(() -> lines.lines().forEach(l -> { }), "drain");
                drain.setDaemon(true);
                drain.start();
                return process;
            }
        }
        throw new IOException("a process did not start: " + all);
    }
}
