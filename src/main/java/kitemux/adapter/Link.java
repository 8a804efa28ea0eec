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

/** Carries events from the wire to the instances and their actions back. It decides nothing. */
final class Link {
    private static final int MOST_ROSTERS = 16;

    /** One node's module with what is needed to translate for it. */
    private record Instance(
            Balancer balancer,
            Map<String, Integer> classes,
            Map<String, Integer> tenants,
            Map<String, Integer> zones) {}

    /** A roster's line; its zone is still a name, since instances number zones by their own settings. */
    private record RosterLine(String id, String zone, int cell, ServerState state, double weight, long startedAt) {}

    private final Line line;
    private final Reply reply;
    private final Map<String, Instance> instances = new HashMap<>();
    private final List<List<RosterLine>> rosters = new ArrayList<>();
    private long now;

    Link(InputStream in, OutputStream out) {
        line = new Line(in);
        reply = new Reply(out);
        for (int i = 0; i < MOST_ROSTERS; i++) {
            rosters.add(null);
        }
    }

    /** Answers batch after batch until the input ends. */
    void run() throws IOException, WireException {
        while (line.next()) {
            if (line.name().isEmpty()) {
                continue;
            }
            if (!line.is("begin_batch")) {
                throw line.bad("a batch must open with begin_batch, not " + line.name());
            }
            now = line.whole("timeUs");
            nextLine();
            while (!line.is("eob")) {
                event();
                nextLine();
            }
            reply.flush();
        }
    }

    private void nextLine() throws IOException, WireException {
        if (!line.next()) {
            throw line.bad("the input ends inside a batch");
        }
    }

    private void event() throws IOException, WireException {
        if (line.is("roster")) {
            roster();
            return;
        }
        String node = line.text("node");
        reply.actFor(node);
        if (line.is("boot")) {
            boot(node);
            return;
        }
        Instance instance = instances.get(node);
        if (instance == null) {
            throw line.bad("node", "names an instance that was never started: " + node);
        }
        if (line.is("shutdown")) {
            instances.remove(node);
            return;
        }
        Runnable call = translate(instance);
        try {
            call.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.fault(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private Runnable translate(Instance to) throws WireException {
        Balancer balancer = to.balancer;
        long at = now;
        if (line.is("resolved")) {
            Outcome outcome = new Outcome(
                    line.id("handle"),
                    (int) line.whole("seqNo"),
                    result(),
                    line.whole("latencyUs", 0),
                    line.flag("ended"),
                    line.row("metrics"));
            return () -> balancer.onOutcome(at, outcome);
        }
        if (line.is("work_item")) {
            String tenant = line.textOrNull("realm");
            boolean anyTenant = tenant != null && !tenant.equals("0");
            Request request = new Request(
                    line.id("handle"),
                    index(to.classes, "lane", line.text("lane")),
                    anyTenant ? index(to.tenants, "realm", tenant) : -1,
                    line.whole("patienceLeftUs"),
                    line.whole("workUs", 0),
                    line.flag("resent"),
                    line.textOrNull("routeKey"));
            return () -> balancer.onRequest(at, request);
        }
        if (line.is("bell")) {
            return () -> balancer.onWake(at);
        }
        if (line.is("topology")) {
            return topology(to);
        }
        if (line.is("client_gone")) {
            long id = line.id("handle");
            return () -> balancer.onClientGone(at, id);
        }
        if (line.is("first_byte")) {
            long id = line.id("handle");
            int attempt = (int) line.whole("seqNo");
            return () -> balancer.onFirstByte(at, id, attempt);
        }
        if (line.is("echo")) {
            String server = line.text("server");
            Result result = result();
            long latency = line.whole("latencyUs", 0);
            double[] report = line.row("metrics");
            return () -> balancer.onProbe(at, server, result, latency, report);
        }
        if (line.is("memo")) {
            return () -> {};
        }
        throw line.bad("unknown event " + line.name());
    }

    private void boot(String node) throws WireException {
        Settings settings = settings(line);
        long seed = line.whole("initSeed");
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
            throw line.bad("boot: " + e.getMessage());
        }
    }

    private static Settings settings(Line line) throws WireException {
        Map<String, String> values = new HashMap<>();
        for (int i = 0; i < line.fieldCount(); i++) {
            values.put(line.key(i), line.value(i));
        }
        try {
            return SettingsReader.read(values);
        } catch (SettingsReader.BadSettingException e) {
            throw line.bad(e.field, e.reason);
        }
    }

    private void roster() throws IOException, WireException {
        int number = rosterNumber();
        long count = line.whole("nodesList", 0);
        List<RosterLine> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            nextLine();
            if (!line.is("server")) {
                throw line.bad("a roster's line must be server, not " + line.name());
            }
            String state = line.text("lifecycle");
            entries.add(new RosterLine(
                    line.text("server"),
                    line.textOrNull("site"),
                    (int) line.whole("block", 0),
                    switch (state) {
                        case "Running" -> ServerState.READY;
                        case "Stopping" -> ServerState.DRAINING;
                        case "Deleted" -> ServerState.GONE;
                        default -> throw line.bad("lifecycle", "is unknown: " + state);
                    },
                    line.decimal("scale", 1),
                    line.whole("sinceUs", 0)));
        }
        rosters.set(number, entries);
    }

    private int rosterNumber() throws WireException {
        long number = line.whole("setId");
        if (number < 0 || number >= MOST_ROSTERS) {
            throw line.bad("setId", "is not from 0 to " + (MOST_ROSTERS - 1));
        }
        return (int) number;
    }

    private Runnable topology(Instance to) throws WireException {
        long at = now;
        String kind = line.text("kind");
        if (kind.equals("broken")) {
            return () -> to.balancer.onListFailed(at);
        }
        ListKind listKind =
                switch (kind) {
                    case "patch" -> ListKind.CHANGES;
                    case "whole" -> ListKind.FULL;
                    case "stale_copy" -> ListKind.CACHED;
                    default -> throw line.bad("kind", "is unknown: " + kind);
                };
        List<RosterLine> roster = rosters.get(rosterNumber());
        if (roster == null) {
            throw line.bad("setId", "names a roster that was never given");
        }
        List<ServerEntry> entries = new ArrayList<>(roster.size());
        for (RosterLine entry : roster) {
            entries.add(new ServerEntry(
                    entry.id,
                    to.zones.getOrDefault(entry.zone, -1),
                    entry.cell,
                    entry.state,
                    entry.weight,
                    entry.startedAt));
        }
        return () -> to.balancer.onServers(at, listKind, entries);
    }

    private int index(Map<String, Integer> names, String field, String name) throws WireException {
        Integer index = names.get(name);
        if (index == null) {
            throw line.bad(field, "is not in the settings: " + name);
        }
        return index;
    }

    private Result result() throws WireException {
        long code = line.whole("rc");
        return switch ((int) code) {
            case 10 -> Result.OK;
            case 20 -> Result.ERROR;
            case 30 -> Result.FULL;
            case 40 -> Result.TIMEOUT;
            case 50 -> Result.CONNECT_FAILED;
            case 60 -> Result.RESET;
            case 70 -> Result.CANCELLED;
            case 80 -> Result.MOOT;
            default -> throw line.bad("rc", "is unknown: " + code);
        };
    }
}
