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
import kitemux.hcl.SourceLocations;
import kitemux.hcl.Section;

/**
 * Reads a fleet, its load and what goes wrong from a description in HCL; {@code docs/operate/plan.md} has all
 * fields.
 */
public final class FleetFile {
    private FleetFile() {}

    /** Where descriptions are that others name. */
    public interface FileSource {
        /** The text of a file, by its path from the folder of whoever names it. */
        String read(String path) throws IOException;
    }

    private enum RepeatPolicy {
        SAFE,
        KEYED,
        NEVER_TWICE
    }

    private enum DeduplicationScope {
        ALL,
        RACK
    }

    /**
     * Reads a fleet that another description names.
     *
     * @param path as it is named; empty where it is not
     * @param namers gets what is wrong with the name, as faults of its field {@code fleet}
     * @param own gets what is wrong in the fleet's description, with its places
     * @return the fleet; null if there are faults
     */
    public static Fleet readNamed(String path, FileSource texts, List<String> namers, List<String> own) {
        if (path.isEmpty()) {
            return null;
        }
        try {
            String text = texts.read(path);
            List<String> found = new ArrayList<>();
            Fleet fleet = read(text, found);
            own.addAll(SourceLocations.faultsWithLocations(path, text, found));
            return own.isEmpty() ? fleet : null;
        } catch (IOException e) {
            namers.add("fleet: " + path + " cannot be read: " + e.getMessage());
            return null;
        }
    }

    /**
     * @param text the description
     * @param faults gets all that is wrong, one line each with field and reason
     * @return the fleet; not to be played if there are faults
     */
    public static Fleet read(String text, List<String> faults) {
        Map<String, Object> parsed;
        try {
            parsed = new HCLParser().parse(text);
        } catch (HCLParserException | IOException | RuntimeException e) {
            faults.add("this is not HCL: " + String.valueOf(e.getMessage()).replace('\n', ' '));
            return null;
        }
        Section all = new Section("", parsed, faults);
        List<Fleet.ServerKind> kinds = new ArrayList<>();
        all.labelledBlocks("boxes", true).forEach((name, box) -> kinds.add(kind(name, box)));
        List<Fleet.ClassWorkload> classes = new ArrayList<>();
        all.labelledBlocks("class", true).forEach((name, of) -> classes.add(work(name, of)));
        List<Fleet.TenantShare> tenants = new ArrayList<>();
        all.labelledBlocks("tenant", false).forEach((name, of) -> {
            tenants.add(new Fleet.TenantShare(name, of.number("share", Double.NaN), of.number("usage", 1)));
            of.reportUnknownFields();
        });
        Fleet.Nodes nodes = nodes(all.block("nodes", true));
        Fleet.OverloadSlowdown choke = choke(all.block("choke", false));
        Fleet.Links links = links(all.block("links", true));
        Fleet.DiscoveryDelays list = list(all.block("list", false), faults);
        Fleet.Clients clients = clients(all.block("clients", true));
        Fleet.Load load = load(all.block("load", true));
        List<Fleet.Fault> wrong = new ArrayList<>();
        for (Section fault : all.repeatedBlocks("fault")) {
            wrong.add(readFault(fault));
        }
        Fleet fleet = new Fleet(
                kinds,
                all.integer("racks", 1),
                zones(all.blockOrEmpty("zones")),
                nodes,
                choke,
                links,
                list,
                clients,
                classes,
                tenants,
                load,
                wrong);
        all.reportUnknownFields();
        if (faults.isEmpty()) {
            faults.addAll(fleet.validate());
        }
        return fleet;
    }

    /** Something that goes wrong. */
    public static Fleet.Fault readFault(Section of) {
        Fleet.Fault fault = new Fleet.Fault(
                of.enumValue("trouble", Fleet.FaultKind.class, null),
                of.enumValue("among", Fleet.FaultScope.class, Fleet.FaultScope.ANY),
                of.integer("which", 0),
                of.integer("count", 0),
                of.durationUs("at", -1),
                of.durationUs("for", -1),
                of.number("size", 1));
        of.reportUnknownFields();
        return fault;
    }

    private static Fleet.ServerKind kind(String name, Section box) {
        Fleet.ServerKind kind = new Fleet.ServerKind(
                name,
                box.integer("count", Double.NaN),
                box.integer("cores", 1),
                box.number("speed", 1),
                box.number("speed_cv", 0),
                box.integer("queue", 1_000),
                box.number("cold_from", 1),
                box.durationUs("cold", 0),
                box.bool("warms_by_work", false),
                box.number("cost", 1));
        box.reportUnknownFields();
        return kind;
    }

    private static Fleet.ClassWorkload work(String name, Section of) {
        RepeatPolicy repeat = of.enumValue("repeat", RepeatPolicy.class, null);
        DeduplicationScope group = of.enumValue("group", DeduplicationScope.class, DeduplicationScope.ALL);
        RequestClass cls = new RequestClass(
                name,
                of.durationUs("aim", -1),
                0,
                of.durationUs("deadline", -1),
                of.number("worth", 1),
                of.number("late_worth", 0),
                switch (repeat) {
                    case SAFE -> RetrySafety.SAFE;
                    case KEYED -> RetrySafety.KEYED;
                    case NEVER_TWICE -> RetrySafety.UNSAFE;
                },
                group == DeduplicationScope.ALL ? DedupScope.ALL : DedupScope.CELL,
                of.durationUs("window", 0),
                false);
        Fleet.ClassWorkload work = new Fleet.ClassWorkload(
                cls,
                of.number("share", Double.NaN),
                of.durationUs("work", -1),
                of.enumValue("spread", Fleet.WorkDistribution.class, Fleet.WorkDistribution.EXPONENTIAL),
                of.number("cv", 1));
        of.reportUnknownFields();
        return work;
    }

    private static Fleet.Nodes nodes(Section of) {
        Fleet.Nodes nodes = new Fleet.Nodes(
                of.integer("count", Double.NaN),
                of.durationUs("event", 60),
                of.number("cores", 1),
                of.durationUs("start", 1_500_000),
                of.durationUs("notice", 2_000_000));
        of.reportUnknownFields();
        return nodes;
    }

    private static Fleet.Zones zones(Section of) {
        Fleet.Zones zones = new Fleet.Zones(of.integer("count", 1), of.durationUs("across", 0), of.number("price", 0));
        of.reportUnknownFields();
        return zones;
    }

    private static Fleet.OverloadSlowdown choke(Section of) {
        if (of == null) {
            return null;
        }
        Fleet.OverloadSlowdown choke = new Fleet.OverloadSlowdown(
                of.number("at", Double.NaN),
                of.durationUs("over", -1),
                of.number("slower", Double.NaN),
                of.number("below", 0.3),
                of.durationUs("rest", -1),
                of.durationUs("most", -1));
        of.reportUnknownFields();
        return choke;
    }

    private static Fleet.Links links(Section of) {
        Fleet.Links links = new Fleet.Links(
                of.durationUs("way", 200),
                of.number("jitter", 0.2),
                of.integer("handshakes", 2),
                of.durationUs("handshake", 0),
                of.integer("most_per_core", 1_000),
                of.durationUs("idle", 60_000_000),
                of.durationUs("connect", 250_000));
        of.reportUnknownFields();
        return links;
    }

    private static Fleet.DiscoveryDelays list(Section given, List<String> faults) {
        Section of = given == null ? new Section("list", Map.of(), faults) : given;
        Fleet.DiscoveryDelays list = new Fleet.DiscoveryDelays(
                new Fleet.Range(of.durationUs("gone_from", 560_000), of.durationUs("gone_to", 5_000_000)),
                new Fleet.Range(of.durationUs("silent_from", 5_000_000), of.durationUs("silent_to", 13_000_000)),
                new Fleet.Range(of.durationUs("back_from", 230_000), of.durationUs("back_to", 2_100_000)),
                of.durationUs("grace", 500_000));
        of.reportUnknownFields();
        return list;
    }

    private static Fleet.Clients clients(Section of) {
        Fleet.Clients clients = new Fleet.Clients(
                of.durationUs("way", 700),
                of.integer("retries", 2),
                of.number("try_from", 0.4),
                of.number("try_to", 0.8),
                of.durationUs("backoff", 20_000),
                of.number("honour", 0.85),
                of.durationUs("most_retry_after", 1_000_000),
                of.number("skew", 0));
        of.reportUnknownFields();
        return clients;
    }

    private static Fleet.Load load(Section of) {
        List<Fleet.LoadPoint> shape = new ArrayList<>();
        for (Section point : of.repeatedBlocks("point")) {
            shape.add(new Fleet.LoadPoint(point.durationUs("at", 0), point.number("times", Double.NaN)));
            point.reportUnknownFields();
        }
        Fleet.Load load = new Fleet.Load(
                of.number("rate", Double.NaN),
                of.durationUs("length", 40_000_000),
                shape,
                of.number("quota", 0),
                of.number("over_share_worth", 0.1));
        of.reportUnknownFields();
        return load;
    }
}
