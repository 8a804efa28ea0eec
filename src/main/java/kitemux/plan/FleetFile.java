package kitemux.plan;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.fleet.Fleet;
import kitemux.hcl.Places;
import kitemux.hcl.Section;

/**
 * Reads a fleet, its load and its faults from a description in HCL.
 * {@code docs/operate/plan.md} documents the fields.
 */
public final class FleetFile {
    private FleetFile() {}

    /** Provides the text of descriptions that other descriptions refer to. */
    public interface FileSource {
        /**
         * Returns the text of a file.
         *
         * @param path path relative to the folder of the referring file
         * @throws IOException if the file cannot be read
         */
        String read(String path) throws IOException;
    }

    /** The values of the field {@code repeat}: whether a request of a class may be repeated. */
    private enum RepeatPolicy {
        SAFE,
        KEYED,
        NEVER_TWICE
    }

    /** The values of the field {@code group}: the servers among which a repeated keyed request is recognised. */
    private enum DeduplicationScope {
        ALL,
        RACK
    }

    /**
     * Reads a fleet that another description refers to.
     *
     * @param path path of the fleet's description; empty if none is given
     * @param source provides the text
     * @param referrerFaults receives faults of the reference itself, in the field {@code fleet}
     * @param fleetFaults receives faults of the fleet's description, with their positions
     * @return the fleet; null if there are faults
     */
    public static Fleet readNamed(
            String path, FileSource source, List<String> referrerFaults, List<String> fleetFaults) {
        if (path.isEmpty()) {
            return null;
        }
        try {
            String text = source.read(path);
            List<String> foundFaults = new ArrayList<>();
            Fleet fleet = read(text, foundFaults);
            fleetFaults.addAll(Places.placed(path, text, foundFaults));
            return fleetFaults.isEmpty() ? fleet : null;
        } catch (IOException e) {
            referrerFaults.add("fleet: " + path + " cannot be read: " + e.getMessage());
            return null;
        }
    }

    /**
     * Reads a fleet from its description.
     *
     * @param text the description
     * @param faults receives the faults, one line each with field and reason
     * @return the fleet; must not be run if there are faults
     */
    public static Fleet read(String text, List<String> faults) {
        Map<String, Object> parsed;
        try {
            parsed = new HCLParser().parse(text);
        } catch (HCLParserException | IOException | RuntimeException e) {
            faults.add("this is not HCL: " + String.valueOf(e.getMessage()).replace('\n', ' '));
            return null;
        }
        Section root = new Section("", parsed, faults);
        List<Fleet.ServerKind> kinds = new ArrayList<>();
        root.labelled("boxes", true).forEach((name, section) -> kinds.add(kind(name, section)));
        List<Fleet.ClassWorkload> classes = new ArrayList<>();
        root.labelled("class", true).forEach((name, section) -> classes.add(work(name, section)));
        List<Fleet.TenantShare> tenants = new ArrayList<>();
        root.labelled("tenant", false).forEach((name, section) -> {
            tenants.add(new Fleet.TenantShare(name, section.number("share", Double.NaN), section.number("usage", 1)));
            section.end();
        });
        Fleet.Nodes nodes = nodes(root.block("nodes", true));
        Fleet.OverloadSlowdown slowdown = overloadSlowdown(root.block("choke", false));
        Fleet.Links links = links(root.block("links", true));
        Fleet.DiscoveryDelays delays = discoveryDelays(root.block("list", false), faults);
        Fleet.Clients clients = clients(root.block("clients", true));
        Fleet.Load load = load(root.block("load", true));
        List<Fleet.Fault> injectedFaults = new ArrayList<>();
        for (Section fault : root.repeated("fault")) {
            injectedFaults.add(readFault(fault));
        }
        Fleet fleet = new Fleet(
                kinds,
                root.whole("racks", 1),
                zones(root.part("zones")),
                nodes,
                slowdown,
                links,
                delays,
                clients,
                classes,
                tenants,
                load,
                injectedFaults);
        root.end();
        if (faults.isEmpty()) {
            faults.addAll(fleet.validate());
        }
        return fleet;
    }

    /** Reads a fault from its section of a description. */
    public static Fleet.Fault readFault(Section section) {
        Fleet.Fault fault = new Fleet.Fault(
                section.word("trouble", Fleet.FaultKind.class, null),
                section.word("among", Fleet.FaultScope.class, Fleet.FaultScope.ANY),
                section.whole("which", 0),
                section.whole("count", 0),
                section.time("at", -1),
                section.time("for", -1),
                section.number("size", 1));
        section.end();
        return fault;
    }

    private static Fleet.ServerKind kind(String name, Section section) {
        Fleet.ServerKind kind = new Fleet.ServerKind(
                name,
                section.whole("count", Double.NaN),
                section.whole("cores", 1),
                section.number("speed", 1),
                section.number("speed_cv", 0),
                section.whole("queue", 1_000),
                section.number("cold_from", 1),
                section.time("cold", 0),
                section.yes("warms_by_work", false),
                section.number("cost", 1));
        section.end();
        return kind;
    }

    private static Fleet.ClassWorkload work(String name, Section section) {
        RepeatPolicy repeat = section.word("repeat", RepeatPolicy.class, null);
        DeduplicationScope scope = section.word("group", DeduplicationScope.class, DeduplicationScope.ALL);
        RequestClass requestClass = new RequestClass(
                name,
                section.time("aim", -1),
                0,
                section.time("deadline", -1),
                section.number("worth", 1),
                section.number("late_worth", 0),
                switch (repeat) {
                    case SAFE -> RetrySafety.SAFE;
                    case KEYED -> RetrySafety.KEYED;
                    case NEVER_TWICE -> RetrySafety.UNSAFE;
                },
                scope == DeduplicationScope.ALL ? DedupScope.ALL : DedupScope.CELL,
                section.time("window", 0),
                false);
        Fleet.ClassWorkload workload = new Fleet.ClassWorkload(
                requestClass,
                section.number("share", Double.NaN),
                section.time("work", -1),
                section.word("spread", Fleet.WorkDistribution.class, Fleet.WorkDistribution.EXPONENTIAL),
                section.number("cv", 1));
        section.end();
        return workload;
    }

    private static Fleet.Nodes nodes(Section section) {
        Fleet.Nodes nodes = new Fleet.Nodes(
                section.whole("count", Double.NaN),
                section.time("event", 60),
                section.number("cores", 1),
                section.time("start", 1_500_000),
                section.time("notice", 2_000_000));
        section.end();
        return nodes;
    }

    private static Fleet.Zones zones(Section section) {
        Fleet.Zones zones =
                new Fleet.Zones(section.whole("count", 1), section.time("across", 0), section.number("price", 0));
        section.end();
        return zones;
    }

    private static Fleet.OverloadSlowdown overloadSlowdown(Section section) {
        if (section == null) {
            return null;
        }
        Fleet.OverloadSlowdown slowdown = new Fleet.OverloadSlowdown(
                section.number("at", Double.NaN),
                section.time("over", -1),
                section.number("slower", Double.NaN),
                section.number("below", 0.3),
                section.time("rest", -1),
                section.time("most", -1));
        section.end();
        return slowdown;
    }

    private static Fleet.Links links(Section section) {
        Fleet.Links links = new Fleet.Links(
                section.time("way", 200),
                section.number("jitter", 0.2),
                section.whole("handshakes", 2),
                section.time("handshake", 0),
                section.whole("most_per_core", 1_000),
                section.time("idle", 60_000_000),
                section.time("connect", 250_000));
        section.end();
        return links;
    }

    private static Fleet.DiscoveryDelays discoveryDelays(Section configured, List<String> faults) {
        Section section = configured == null ? new Section("list", Map.of(), faults) : configured;
        Fleet.DiscoveryDelays delays = new Fleet.DiscoveryDelays(
                new Fleet.Range(section.time("gone_from", 560_000), section.time("gone_to", 5_000_000)),
                new Fleet.Range(section.time("silent_from", 5_000_000), section.time("silent_to", 13_000_000)),
                new Fleet.Range(section.time("back_from", 230_000), section.time("back_to", 2_100_000)),
                section.time("grace", 500_000));
        section.end();
        return delays;
    }

    private static Fleet.Clients clients(Section section) {
        Fleet.Clients clients = new Fleet.Clients(
                section.time("way", 700),
                section.whole("retries", 2),
                section.number("try_from", 0.4),
                section.number("try_to", 0.8),
                section.time("backoff", 20_000),
                section.number("honour", 0.85),
                section.time("most_retry_after", 1_000_000),
                section.number("skew", 0));
        section.end();
        return clients;
    }

    private static Fleet.Load load(Section section) {
        List<Fleet.LoadPoint> shape = new ArrayList<>();
        for (Section point : section.repeated("point")) {
            shape.add(new Fleet.LoadPoint(point.time("at", 0), point.number("times", Double.NaN)));
            point.end();
        }
        Fleet.Load load = new Fleet.Load(
                section.number("rate", Double.NaN),
                section.time("length", 40_000_000),
                shape,
                section.number("quota", 0),
                section.number("over_share_worth", 0.1));
        section.end();
        return load;
    }
}
