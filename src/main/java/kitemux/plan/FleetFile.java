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
import kitemux.hcl.Section;
import kitemux.hcl.SourceLocations;

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
            fleetFaults.addAll(SourceLocations.faultsWithLocations(path, text, foundFaults));
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
        root.labelledBlocks("boxes", true).forEach((name, section) -> kinds.add(kind(name, section)));
        List<Fleet.ClassWorkload> classes = new ArrayList<>();
        root.labelledBlocks("class", true).forEach((name, section) -> classes.add(work(name, section)));
        List<Fleet.TenantShare> tenants = new ArrayList<>();
        root.labelledBlocks("tenant", false).forEach((name, section) -> {
            tenants.add(new Fleet.TenantShare(name, section.number("share", Double.NaN), section.number("usage", 1)));
            section.reportUnknownFields();
        });
        Fleet.Nodes nodes = nodes(root.block("nodes", true));
        Fleet.OverloadSlowdown slowdown = overloadSlowdown(root.block("choke", false));
        Fleet.Links links = links(root.block("links", true));
        Fleet.DiscoveryDelays delays = discoveryDelays(root.block("list", false), faults);
        Fleet.Clients clients = clients(root.block("clients", true));
        Fleet.Load load = load(root.block("load", true));
        List<Fleet.Fault> injectedFaults = new ArrayList<>();
        for (Section fault : root.repeatedBlocks("fault")) {
            injectedFaults.add(readFault(fault));
        }
        Fleet fleet = new Fleet(
                kinds,
                root.integer("racks", 1),
                zones(root.blockOrEmpty("zones")),
                nodes,
                slowdown,
                links,
                delays,
                clients,
                classes,
                tenants,
                load,
                injectedFaults);
        root.reportUnknownFields();
        if (faults.isEmpty()) {
            faults.addAll(fleet.validate());
        }
        return fleet;
    }

    /** Reads a fault from its section of a description. */
    public static Fleet.Fault readFault(Section section) {
        Fleet.Fault fault = new Fleet.Fault(
                section.enumValue("trouble", Fleet.FaultKind.class, null),
                section.enumValue("among", Fleet.FaultScope.class, Fleet.FaultScope.ANY),
                section.integer("which", 0),
                section.integer("count", 0),
                section.durationUs("at", -1),
                section.durationUs("for", -1),
                section.number("size", 1));
        section.reportUnknownFields();
        return fault;
    }

    private static Fleet.ServerKind kind(String name, Section section) {
        Fleet.ServerKind kind = new Fleet.ServerKind(
                name,
                section.integer("count", Double.NaN),
                section.integer("cores", 1),
                section.number("speed", 1),
                section.number("speed_cv", 0),
                section.integer("queue", 1_000),
                section.number("cold_from", 1),
                section.durationUs("cold", 0),
                section.bool("warms_by_work", false),
                section.number("cost", 1));
        section.reportUnknownFields();
        return kind;
    }

    private static Fleet.ClassWorkload work(String name, Section section) {
        RepeatPolicy repeat = section.enumValue("repeat", RepeatPolicy.class, null);
        DeduplicationScope scope = section.enumValue("group", DeduplicationScope.class, DeduplicationScope.ALL);
        RequestClass requestClass = new RequestClass(
                name,
                section.durationUs("aim", -1),
                0,
                section.durationUs("deadline", -1),
                section.number("worth", 1),
                section.number("late_worth", 0),
                switch (repeat) {
                    case SAFE -> RetrySafety.SAFE;
                    case KEYED -> RetrySafety.KEYED;
                    case NEVER_TWICE -> RetrySafety.UNSAFE;
                },
                scope == DeduplicationScope.ALL ? DedupScope.ALL : DedupScope.CELL,
                section.durationUs("window", 0),
                false);
        Fleet.ClassWorkload workload = new Fleet.ClassWorkload(
                requestClass,
                section.number("share", Double.NaN),
                section.durationUs("work", -1),
                section.enumValue("spread", Fleet.WorkDistribution.class, Fleet.WorkDistribution.EXPONENTIAL),
                section.number("cv", 1));
        section.reportUnknownFields();
        return workload;
    }

    private static Fleet.Nodes nodes(Section section) {
        Fleet.Nodes nodes = new Fleet.Nodes(
                section.integer("count", Double.NaN),
                section.durationUs("event", 60),
                section.number("cores", 1),
                section.durationUs("start", 1_500_000),
                section.durationUs("notice", 2_000_000));
        section.reportUnknownFields();
        return nodes;
    }

    private static Fleet.Zones zones(Section section) {
        Fleet.Zones zones = new Fleet.Zones(
                section.integer("count", 1), section.durationUs("across", 0), section.number("price", 0));
        section.reportUnknownFields();
        return zones;
    }

    private static Fleet.OverloadSlowdown overloadSlowdown(Section section) {
        if (section == null) {
            return null;
        }
        Fleet.OverloadSlowdown slowdown = new Fleet.OverloadSlowdown(
                section.number("at", Double.NaN),
                section.durationUs("over", -1),
                section.number("slower", Double.NaN),
                section.number("below", 0.3),
                section.durationUs("rest", -1),
                section.durationUs("most", -1));
        section.reportUnknownFields();
        return slowdown;
    }

    private static Fleet.Links links(Section section) {
        Fleet.Links links = new Fleet.Links(
                section.durationUs("way", 200),
                section.number("jitter", 0.2),
                section.integer("handshakes", 2),
                section.durationUs("handshake", 0),
                section.integer("most_per_core", 1_000),
                section.durationUs("idle", 60_000_000),
                section.durationUs("connect", 250_000));
        section.reportUnknownFields();
        return links;
    }

    private static Fleet.DiscoveryDelays discoveryDelays(Section configured, List<String> faults) {
        Section section = configured == null ? new Section("list", Map.of(), faults) : configured;
        Fleet.DiscoveryDelays delays = new Fleet.DiscoveryDelays(
                new Fleet.Range(section.durationUs("gone_from", 560_000), section.durationUs("gone_to", 5_000_000)),
                new Fleet.Range(
                        section.durationUs("silent_from", 5_000_000), section.durationUs("silent_to", 13_000_000)),
                new Fleet.Range(section.durationUs("back_from", 230_000), section.durationUs("back_to", 2_100_000)),
                section.durationUs("grace", 500_000));
        section.reportUnknownFields();
        return delays;
    }

    private static Fleet.Clients clients(Section section) {
        Fleet.Clients clients = new Fleet.Clients(
                section.durationUs("way", 700),
                section.integer("retries", 2),
                section.number("try_from", 0.4),
                section.number("try_to", 0.8),
                section.durationUs("backoff", 20_000),
                section.number("honour", 0.85),
                section.durationUs("most_retry_after", 1_000_000),
                section.number("skew", 0));
        section.reportUnknownFields();
        return clients;
    }

    private static Fleet.Load load(Section section) {
        List<Fleet.LoadPoint> shape = new ArrayList<>();
        for (Section point : section.repeatedBlocks("point")) {
            shape.add(new Fleet.LoadPoint(point.durationUs("at", 0), point.number("times", Double.NaN)));
            point.reportUnknownFields();
        }
        Fleet.Load load = new Fleet.Load(
                section.number("rate", Double.NaN),
                section.durationUs("length", 40_000_000),
                shape,
                section.number("quota", 0),
                section.number("over_share_worth", 0.1));
        section.reportUnknownFields();
        return load;
    }
}
