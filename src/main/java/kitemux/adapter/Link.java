package kitemux.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import kitemux.Balancer;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Outcome;
import kitemux.Balancer.Request;
import kitemux.Balancer.Result;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import kitemux.ServiceQBalancer;
import kitemux.config.SettingsReader;

/**
 * Translates events of the wire protocol into calls of the instances, and writes their actions back. Makes no
 * decisions.
 */
final class Link {
    /** Number of rosters (server lists) that the protocol can refer to at once. */
    private static final int MAX_ROSTER_COUNT = 16;

    /** The decision module of one node, with the indices by name that its events need. */
    private record Instance(
            Balancer balancer,
            Map<String, Integer> classes,
            Map<String, Integer> tenants,
            Map<String, Integer> zones) {}

    /** A line of a roster. Its zone is still a name, since instances number zones by their own settings. */
    private record RosterEntry(String id, String zone, int cell, ServerState state, double weight, long startedAtUs) {}

    private final LineReader line;
    private final ReplyWriter reply;
    private final Map<String, Instance> instances = new HashMap<>();
    private final List<List<RosterEntry>> rosters = new ArrayList<>();

    /** Time of the current batch, in microseconds. */
    private long nowUs;

    /** Creates a link that reads events from one stream and writes replies to the other. */
    Link(InputStream in, OutputStream out) {
        line = new LineReader(in);
        reply = new ReplyWriter(out);
        for (int i = 0; i < MAX_ROSTER_COUNT; i++) {
            rosters.add(null);
        }
    }

    /**
     * Answers one batch after another until the input ends.
     *
     * @throws WireException if the input is malformed
     * @throws IOException if reading or writing fails
     */
    void run() throws IOException, WireException {
        while (line.readNext()) {
            if (line.name().isEmpty()) {
                continue;
            }
            if (!line.hasName("begin_batch")) {
                throw line.malformed("a batch must open with begin_batch, not " + line.name());
            }
            nowUs = line.integer("timeUs");
            readLine();
            while (!line.hasName("eob")) {
                handleEvent();
                readLine();
            }
            reply.flush();
        }
    }

    private void readLine() throws IOException, WireException {
        if (!line.readNext()) {
            throw line.malformed("the input ends inside a batch");
        }
    }

    private void handleEvent() throws IOException, WireException {
        if (line.hasName("roster")) {
            readRoster();
            return;
        }
        String node = line.text("node");
        reply.setNode(node);
        if (line.hasName("boot")) {
            startInstance(node);
            return;
        }
        Instance instance = instances.get(node);
        if (instance == null) {
            throw line.malformed("node", "names an instance that was never started: " + node);
        }
        if (line.hasName("shutdown")) {
            instances.remove(node);
            return;
        }
        Runnable call = toCall(instance);
        try {
            call.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.reportFault(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    /**
     * Translates the current line into a call of the instance. Errors in the line are thrown here, before the call.
     */
    private Runnable toCall(Instance instance) throws WireException {
        Balancer balancer = instance.balancer;
        long eventUs = nowUs;
        if (line.hasName("resolved")) {
            Outcome outcome = new Outcome(
                    line.requestId("handle"),
                    (int) line.integer("seqNo"),
                    readResult(),
                    line.integer("latencyUs", 0),
                    line.flag("ended"),
                    line.decimals("metrics"));
            return () -> balancer.onOutcome(eventUs, outcome);
        }
        if (line.hasName("work_item")) {
            String tenant = line.textOrNull("realm");
            boolean anyTenant = tenant != null && !tenant.equals("0");
            Request request = new Request(
                    line.requestId("handle"),
                    indexOf(instance.classes, "lane", line.text("lane")),
                    anyTenant ? indexOf(instance.tenants, "realm", tenant) : -1,
                    line.integer("patienceLeftUs"),
                    line.integer("workUs", 0),
                    line.flag("resent"),
                    line.textOrNull("routeKey"));
            return () -> balancer.onRequest(eventUs, request);
        }
        if (line.hasName("bell")) {
            return () -> balancer.onWake(eventUs);
        }
        if (line.hasName("topology")) {
            return toListCall(instance);
        }
        if (line.hasName("client_gone")) {
            long id = line.requestId("handle");
            return () -> balancer.onClientGone(eventUs, id);
        }
        if (line.hasName("first_byte")) {
            long id = line.requestId("handle");
            int attempt = (int) line.integer("seqNo");
            return () -> balancer.onFirstByte(eventUs, id, attempt);
        }
        if (line.hasName("echo")) {
            String server = line.text("server");
            Result result = readResult();
            long latency = line.integer("latencyUs", 0);
            double[] report = line.decimals("metrics");
            return () -> balancer.onProbe(eventUs, server, result, latency, report);
        }
        if (line.hasName("memo")) {
            return () -> {};
        }
        throw line.malformed("unknown event " + line.name());
    }

    private void startInstance(String node) throws WireException {
        Settings settings = readSettings(line);
        long seed = line.integer("initSeed");
        Map<String, Integer> classes = new HashMap<>();
        settings.classes.forEach(c -> classes.put(c.name(), classes.size()));
        Map<String, Integer> tenants = new HashMap<>();
        settings.tenants.forEach(t -> tenants.put(t.name(), tenants.size()));
        Map<String, Integer> zones = new HashMap<>();
        settings.zones.forEach(z -> zones.put(z, zones.size()));
        try {
            Balancer balancer = new ServiceQBalancer(settings, seed, reply);
            instances.put(node, new Instance(balancer, classes, tenants, zones));
        } catch (IllegalArgumentException e) {
            throw line.malformed("boot: " + e.getMessage());
        }
    }

    private static Settings readSettings(LineReader line) throws WireException {
        Map<String, String> values = new HashMap<>();
        for (int i = 0; i < line.fieldCount(); i++) {
            values.put(line.key(i), line.value(i));
        }
        try {
            return SettingsReader.read(values);
        } catch (SettingsReader.BadSettingException e) {
            throw line.malformed(e.field, e.reason);
        }
    }

    private void readRoster() throws IOException, WireException {
        int number = readRosterNumber();
        long count = line.integer("nodesList", 0);
        List<RosterEntry> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            readLine();
            if (!line.hasName("server")) {
                throw line.malformed("a roster's line must be server, not " + line.name());
            }
            String state = line.text("lifecycle");
            entries.add(new RosterEntry(
                    line.text("server"),
                    line.textOrNull("site"),
                    (int) line.integer("block", 0),
                    switch (state) {
                        case "Running" -> ServerState.READY;
                        case "Stopping" -> ServerState.DRAINING;
                        case "Deleted" -> ServerState.GONE;
                        default -> throw line.malformed("lifecycle", "is unknown: " + state);
                    },
                    line.decimal("scale", 1),
                    line.integer("sinceUs", 0)));
        }
        rosters.set(number, entries);
    }

    private int readRosterNumber() throws WireException {
        long number = line.integer("setId");
        if (number < 0 || number >= MAX_ROSTER_COUNT) {
            throw line.malformed("setId", "is not from 0 to " + (MAX_ROSTER_COUNT - 1));
        }
        return (int) number;
    }

    private Runnable toListCall(Instance instance) throws WireException {
        long eventUs = nowUs;
        String kind = line.text("kind");
        if (kind.equals("broken")) {
            return () -> instance.balancer.onListFailed(eventUs);
        }
        ListKind listKind =
                switch (kind) {
                    case "patch" -> ListKind.CHANGES;
                    case "whole" -> ListKind.FULL;
                    case "stale_copy" -> ListKind.CACHED;
                    default -> throw line.malformed("kind", "is unknown: " + kind);
                };
        List<RosterEntry> roster = rosters.get(readRosterNumber());
        if (roster == null) {
            throw line.malformed("setId", "names a roster that was never given");
        }
        List<ServerEntry> entries = new ArrayList<>(roster.size());
        for (RosterEntry entry : roster) {
            entries.add(new ServerEntry(
                    entry.id,
                    instance.zones.getOrDefault(entry.zone, -1),
                    entry.cell,
                    entry.state,
                    entry.weight,
                    entry.startedAtUs));
        }
        return () -> instance.balancer.onServers(eventUs, listKind, entries);
    }

    /** Returns the index of a name in the settings. */
    private int indexOf(Map<String, Integer> names, String field, String name) throws WireException {
        Integer index = names.get(name);
        if (index == null) {
            throw line.malformed(field, "is not in the settings: " + name);
        }
        return index;
    }

    private Result readResult() throws WireException {
        long code = line.integer("rc");
        return switch ((int) code) {
            case 10 -> Result.OK;
            case 20 -> Result.ERROR;
            case 30 -> Result.FULL;
            case 40 -> Result.TIMEOUT;
            case 50 -> Result.CONNECT_FAILED;
            case 60 -> Result.RESET;
            case 70 -> Result.CANCELLED;
            case 80 -> Result.MOOT;
            default -> throw line.malformed("rc", "is unknown: " + code);
        };
    }
}
