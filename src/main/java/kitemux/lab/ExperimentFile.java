package kitemux.lab;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import kitemux.fleet.Fleet;
import kitemux.hcl.Places;
import kitemux.hcl.Section;
import kitemux.plan.FleetFile;

/** Reads an experiment from its description in HCL; {@code docs/operate/lab.md} has all fields. */
public final class ExperimentFile {
    private static final int MOST_SEEDS = 1_000;
    private static final int MOST_VARIANTS = 1_000;
    /** A run over sockets takes as long as it lasts. */
    private static final long MOST_LENGTH_US = 600_000_000L;

    private static final int MOST_NODES = 16;
    private static final int MOST_BOXES = 200;

    private ExperimentFile() {}

    /**
     * @param file what faults call the description
     * @param text the description
     * @param faults gets all that is wrong, of the fleet too, one line each with place, field and reason
     * @return the experiment; not to be played if there are faults
     */
    public static Experiment read(String file, String text, FleetFile.FileSource texts, List<String> faults) {
        Map<String, Object> parsed;
        try {
            parsed = new HCLParser().parse(text);
        } catch (HCLParserException | IOException | RuntimeException e) {
            faults.add(file + ": this is not HCL: "
                    + String.valueOf(e.getMessage()).replace('\n', ' '));
            return null;
        }
        List<String> own = new ArrayList<>();
        List<String> ofFleet = new ArrayList<>();
        Experiment experiment = experiment(parsed, texts, own, ofFleet);
        faults.addAll(Places.placed(file, text, own));
        faults.addAll(ofFleet);
        return experiment;
    }

    private static Experiment experiment(
            Map<String, Object> parsed, FleetFile.FileSource texts, List<String> faults, List<String> ofFleet) {
        Section all = new Section("", parsed, faults);
        String path = all.text("fleet");
        double goal = all.number("goal", 0.95);
        int seeds = all.whole("seeds", 1);
        long length = all.time("length", 20_000_000);
        List<Experiment.Environment> where = new ArrayList<>();
        for (String word : all.texts("where", List.of("emulator", "loopback"))) {
            try {
                where.add(Experiment.Environment.valueOf(word.toUpperCase(Locale.ROOT)));
            } catch (IllegalArgumentException e) {
                faults.add("where: must hold emulator, loopback or both, not \"" + word + "\"");
            }
        }
        Fleet base = FleetFile.readNamed(path, texts, faults, ofFleet);
        require(faults, goal > 0 && goal < 1, "goal: is not above 0 and under 1");
        require(faults, seeds >= 1 && seeds <= MOST_SEEDS, "seeds: is not from 1 to " + MOST_SEEDS);
        require(faults, length >= 2_000_000 && length <= MOST_LENGTH_US, "length: is not from 2s to 10m");
        List<Experiment.Variant> variants = new ArrayList<>();
        Map<String, Section> scenarios = all.labelled("scenario", true);
        if (base != null) {
            Fleet.Load load = base.load();
            Fleet lasting = base.with(
                    new Fleet.Load(load.ratePerS(), length, load.profile(), load.quotaPerS(), load.overShareWorth()));
            scenarios.forEach((name, of) -> scenario(name, of, lasting, variants, faults));
            all.end();
            check(variants, where, faults);
        }
        return new Experiment(goal, seeds, where, variants);
    }

    private static void scenario(
            String name, Section of, Fleet base, List<Experiment.Variant> variants, List<String> faults) {
        double load = of.number("load", 1);
        Fleet fleet = base.with(shaped(base.load().scaledBy(load), of));
        Section counts = of.block("counts", false);
        if (counts != null) {
            List<Fleet.ServerKind> kinds = new ArrayList<>();
            fleet.kinds().forEach(kind -> kinds.add(counted(kind, counts.whole(kind.name(), kind.count()))));
            counts.end();
            fleet = fleet.withKinds(kinds);
        }
        if (!of.yes("choke", true)) {
            fleet = fleet.with((Fleet.OverloadSlowdown) null);
        }
        Fleet.Clients clients = fleet.clients();
        fleet = fleet.with(new Fleet.Clients(
                clients.oneWayUs(),
                of.whole("retries", clients.maxRetries()),
                clients.minTryTimeoutRatio(),
                clients.maxTryTimeoutRatio(),
                clients.backoffUs(),
                of.number("honour", clients.retryAfterComplianceRatio()),
                clients.maxRetryAfterUs(),
                clients.nodeSkew()));
        Fleet.Nodes nodes = fleet.nodes();
        fleet = fleet.with(new Fleet.Nodes(
                of.whole("nodes", nodes.count()),
                nodes.eventCostUs(),
                nodes.cores(),
                nodes.startupUs(),
                nodes.failureDetectionUs()));
        List<Fleet.Fault> wrong = new ArrayList<>(fleet.faults());
        of.repeated("fault").forEach(fault -> wrong.add(FleetFile.readFault(fault)));
        fleet = fleet.withFaults(wrong);
        List<Double> loads = of.numbers("loads");
        List<Double> boxes = of.numbers("boxes");
        String kind = boxes.isEmpty() ? "" : of.text("of");
        of.end();
        if (loads.isEmpty() && boxes.isEmpty()) {
            variants.add(new Experiment.Variant(name, "", 0, false, fleet));
        }
        for (double times : loads) {
            variants.add(new Experiment.Variant(
                    name + ", load " + times,
                    name,
                    times,
                    false,
                    fleet.with(fleet.load().scaledBy(times))));
        }
        if (!kind.isEmpty() && fleet.kinds().stream().noneMatch(k -> k.name().equals(kind))) {
            faults.add("scenario \"" + name + "\".of: there is no kind \"" + kind + "\" in the fleet");
        }
        for (double count : boxes) {
            Fleet all = fleet;
            variants.add(new Experiment.Variant(
                    name + ", " + kind + " " + (int) count,
                    name,
                    count,
                    true,
                    all.withKinds(all.kinds().stream()
                            .map(k -> k.name().equals(kind) ? counted(k, (int) count) : k)
                            .toList())));
        }
    }

    private static Fleet.Load shaped(Fleet.Load load, Section of) {
        List<Fleet.LoadPoint> shape = new ArrayList<>();
        for (Section point : of.repeated("point")) {
            shape.add(new Fleet.LoadPoint(point.time("at", 0), point.number("times", Double.NaN)));
            point.end();
        }
        return shape.isEmpty()
                ? load
                : new Fleet.Load(load.ratePerS(), load.durationUs(), shape, load.quotaPerS(), load.overShareWorth());
    }

    private static Fleet.ServerKind counted(Fleet.ServerKind k, int count) {
        return new Fleet.ServerKind(
                k.name(),
                count,
                k.cores(),
                k.speed(),
                k.speedCv(),
                k.queueCapacity(),
                k.initialCapacityRatio(),
                k.warmUpUs(),
                k.warmsByWork(),
                k.cost());
    }

    private static void check(List<Experiment.Variant> variants, List<Experiment.Environment> where, List<String> faults) {
        require(
                faults,
                !variants.isEmpty() && variants.size() <= MOST_VARIANTS,
                "scenario: from 1 to " + MOST_VARIANTS + " runs must come of all, not " + variants.size());
        Set<String> names = new HashSet<>();
        for (Experiment.Variant variant : variants) {
            String at = "scenario \"" + variant.name() + "\": ";
            require(faults, names.add(variant.name()), at + "is there twice");
            require(
                    faults,
                    variant.name().indexOf('\t') < 0 && variant.name().indexOf('\n') < 0,
                    at + "its name holds a tab or a line's end");
            variant.fleet().validate().forEach(fault -> faults.add(at + fault));
            if (where.contains(Experiment.Environment.LOOPBACK)) {
                require(
                        faults,
                        variant.fleet().nodes().count() <= MOST_NODES,
                        at + "over sockets at most " + MOST_NODES + " nodes are started");
                require(
                        faults,
                        variant.fleet().serverCount() <= MOST_BOXES,
                        at + "over sockets at most " + MOST_BOXES + " servers are started");
                require(
                        faults,
                        variant.fleet().faults().stream()
                                .noneMatch(fault ->
                                        fault.kind() == Fleet.FaultKind.VANISH || fault.kind() == Fleet.FaultKind.CUT),
                        at + "what vanishes without a word cannot be played over loopback;"
                                + " take where = [\"emulator\"]");
                require(
                        faults,
                        variant.fleet().zones().crossZoneDelayUs() == 0,
                        at + "all zones are as near as others over loopback: across must be 0");
            }
        }
    }

    private static void require(List<String> faults, boolean holds, String otherwise) {
        if (!holds) {
            faults.add(otherwise);
        }
    }
}
