package kitemux.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.util.concurrent.Future;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.io.Reader;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import kitemux.config.ConfigException;
import kitemux.config.Json;
import kitemux.engine.Log;
import kitemux.net.Addresses;

/**
 * A process of hollow nodes. It is told what they are by the first line that it reads, an object; each
 * further line asks for something, and has a line for an answer: {@code figures} tells what all have used
 * and heard, and {@code forget} has the longest turns forgotten. It ends with its input: whoever started it
 * has gone.
 */
public final class Hollow {
    private static final JsonFactory JSON = new JsonFactory();

    private Hollow() {}

    /**
     * What a process is told.
     *
     * @param first number of its first node
     * @param count how many it runs
     * @param place the R of the run's addresses
     * @param peers whether nodes tell one another of themselves
     */
    record Told(int first, int count, Sized size, String list, int place, boolean peers, long seed) {
        String line() {
            return "{\"first\":" + first + ",\"count\":" + count + ",\"nodes\":" + size.nodes()
                    + ",\"servers\":" + size.servers() + ",\"services\":" + size.services() + ",\"zones\":"
                    + size.zones() + ",\"tenants\":" + size.tenants() + ",\"list\":\"" + list
                    + "\",\"place\":" + place + ",\"peers\":" + peers + ",\"seed\":" + seed + "}";
        }

        static Told read(String line) throws IOException {
            Json json = Json.read(line.getBytes(StandardCharsets.UTF_8));
            return new Told(
                    whole(json, "first"),
                    whole(json, "count"),
                    new Sized(
                            whole(json, "nodes"),
                            whole(json, "servers"),
                            whole(json, "services"),
                            whole(json, "zones"),
                            whole(json, "tenants")),
                    json.path("list").asText(),
                    whole(json, "place"),
                    json.path("peers").asBoolean(),
                    json.path("seed").asLong(0));
        }

        private static int whole(Json json, String field) {
            return (int) json.path(field).asLong(0);
        }
    }

    /** Where the beliefs of a node are heard. */
    static InetSocketAddress peer(int place, int node) {
        return new InetSocketAddress("127." + place + ".250." + (1 + node / 250), 24_000 + node % 250);
    }

    /**
     * Runs nodes until the input ends.
     *
     * @throws IOException if what it is told cannot be read
     */
    public static void run(Reader in, PrintStream out) throws IOException {
        BufferedReader lines = new BufferedReader(in);
        String first = lines.readLine();
        if (first == null) {
            return;
        }
        Told told = Told.read(first);
        List<HollowNode> nodes = new ArrayList<>();
        try {
            begin(told, nodes, out);
            String line;
            while ((line = lines.readLine()) != null) {
                switch (line) {
                    case "figures" -> out.println(figures(nodes));
                    case "forget" -> {
                        // Whoever asked tells nodes something next, and its turn must not be forgotten too.
                        nodes.stream().map(HollowNode::forgetLongest).toList().forEach(Future::syncUninterruptibly);
                        out.println("{}");
                    }
                    default -> throw new IOException("not known: " + line);
                }
                out.flush();
            }
        } catch (ConfigException e) {
            throw new IOException(e.getMessage(), e);
        } finally {
            nodes.forEach(HollowNode::close);
        }
    }

    private static void begin(Told told, List<HollowNode> nodes, PrintStream out) throws ConfigException {
        InetSocketAddress list = Addresses.parse("list", told.list);
        InetSocketAddress[] peers = null;
        if (told.peers) {
            peers = new InetSocketAddress[told.size.nodes()];
            for (int i = 0; i < peers.length; i++) {
                peers[i] = peer(told.place, i);
            }
        }
        for (int i = told.first; i < told.first + told.count; i++) {
            HollowNode node = new HollowNode(i, told.size.settings(i), list, peers, told.seed * 31 + i, QUIET);
            nodes.add(node);
            node.start();
        }
        out.println("{\"pid\":" + ProcessHandle.current().pid() + "}");
        out.flush();
    }

    /** Defects must not pass unseen; what the watch has to tell is expected here. */
    private static final Log QUIET = new Log() {
        @Override
        public void info(String text) {}

        @Override
        public void error(String what, Throwable cause) {
            System.err.println(what + ": " + cause);
            cause.printStackTrace();
            System.exit(3);
        }
    };

    private static String figures(List<HollowNode> nodes) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartArray();
            for (HollowNode node : nodes) {
                HollowNode.Figures of = node.figures();
                json.writeStartArray();
                for (long figure : new long[] {
                    of.cpuNanos(),
                    of.longestNanos(),
                    of.readBytes(),
                    of.writtenBytes(),
                    of.datagrams(),
                    of.datagramBytes(),
                    of.heardDatagrams(),
                    of.rev(),
                    of.heardAtUs(),
                    of.calls(),
                    of.alive()
                }) {
                    json.writeNumber(figure);
                }
                json.writeEndArray();
            }
            json.writeEndArray();
        }
        return text.toString();
    }

    /** What {@link #figures} wrote. */
    static List<HollowNode.Figures> figures(String line) throws IOException {
        List<HollowNode.Figures> all = new ArrayList<>();
        for (Json node : Json.read(line.getBytes(StandardCharsets.UTF_8))) {
            long[] of =
                    node.values().stream().mapToLong(figure -> figure.asLong(0)).toArray();
            all.add(new HollowNode.Figures(
                    of[0], of[1], of[2], of[3], of[4], of[5], of[6], of[7], of[8], (int) of[9], (int) of[10]));
        }
        return all;
    }
}
