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
import kitemux.hcl.Section;
import kitemux.hcl.SourceLocations;
import kitemux.plan.FleetFile;

/** Parses the HCL description of an experiment; {@code docs/operate/lab.md} documents all fields. */
public final class ExperimentFile {
    private static final int MAX_SEED_COUNT = 1_000;
    private static final int MAX_VARIANT_COUNT = 1_000;
    /** A run over sockets takes its whole length in real time. */
    private static final long MAX_LENGTH_US = 600_000_000L;

    private static final int MAX_NODE_COUNT = 16;
    private static final int MAX_SERVER_COUNT = 200;

    private ExperimentFile() {}

    /**
     * Parses and validates a description.
     *
     * @param file the name of the description in error messages
     * @param text the description
     * @param fileSource reads the fleet's description, which the experiment names
     * @param errors receives one message with position, field and reason for each error, including those of the fleet
     * @return the experiment, which must not be run if there are errors; null if the text is not HCL
     */
    public static Experiment read(String file, String text, FleetFile.FileSource fileSource, List<String> errors) {
        Map<String, Object> parsed;
        try {
            parsed = new HCLParser().parse(text);
        } catch (HCLParserException | IOException | RuntimeException e) {
            errors.add(file + ": this is not HCL: "
                    + String.valueOf(e.getMessage()).replace('\n', ' '));
            return null;
        }
        List<String> experimentErrors = new ArrayList<>();
        List<String> fleetErrors = new ArrayList<>();
        Experiment experiment = parseExperiment(parsed, fileSource, experimentErrors, fleetErrors);
        errors.addAll(SourceLocations.faultsWithLocations(file, text, experimentErrors));
        errors.addAll(fleetErrors);
        return experiment;
    }

    private static Experiment parseExperiment(
            Map<String, Object> parsed,
            FleetFile.FileSource fileSource,
            List<String> errors,
            List<String> fleetErrors) {
        Section all = new Section("", parsed, errors);
        String path = all.text("fleet");
        double goal = all.number("goal", 0.95);
        int seeds = all.integer("seeds", 1);
        long length = all.durationUs("length", 20_000_000);
        List<Experiment.Environment> environments = new ArrayList<>();
        for (String word : all.texts("where", List.of("emulator", "loopback"))) {
            try {
                environments.add(Experiment.Environment.valueOf(word.toUpperCase(Locale.ROOT)));
            } catch (IllegalArgumentException e) {
                errors.add("where: must hold emulator, loopback or both, not \"" + word + "\"");
            }
        }
        Fleet base = FleetFile.readNamed(path, fileSource, errors, fleetErrors);
        require(errors, goal > 0 && goal < 1, "goal: is not above 0 and under 1");
        require(errors, seeds >= 1 && seeds <= MAX_SEED_COUNT, "seeds: is not from 1 to " + MAX_SEED_COUNT);
        require(errors, length >= 2_000_000 && length <= MAX_LENGTH_US, "length: is not from 2s to 10m");
        List<Experiment.Variant> variants = new ArrayList<>();
        Map<String, Section> scenarios = all.labelledBlocks("scenario", true);
        if (base != null) {
            Fleet.Load load = base.load();
            Fleet withLength = base.with(
                    new Fleet.Load(load.ratePerS(), length, load.profile(), load.quotaPerS(), load.overShareWorth()));
            scenarios.forEach((name, of) -> addScenario(name, of, withLength, variants, errors));
            all.reportUnknownFields();
            validate(variants, environments, errors);
        }
        return new Experiment(goal, seeds, environments, variants);
    }

    private static void addScenario(
            String name, Section section, Fleet base, List<Experiment.Variant> variants, List<String> errors) {
        double load = section.number("load", 1);
        Fleet fleet = base.with(withProfile(base.load().scaledBy(load), section));
        Section counts = section.block("counts", false);
        if (counts != null) {
            List<Fleet.ServerKind> kinds = new ArrayList<>();
            fleet.kinds().forEach(kind -> kinds.add(withCount(kind, counts.integer(kind.name(), kind.count()))));
            counts.reportUnknownFields();
            fleet = fleet.withKinds(kinds);
        }
        if (!section.bool("choke", true)) {
            fleet = fleet.with((Fleet.OverloadSlowdown) null);
        }
        Fleet.Clients clients = fleet.clients();
        fleet = fleet.with(new Fleet.Clients(
                clients.oneWayUs(),
                section.integer("retries", clients.maxRetries()),
                clients.minTryTimeoutRatio(),
                clients.maxTryTimeoutRatio(),
                clients.backoffUs(),
                section.number("honour", clients.retryAfterComplianceRatio()),
                clients.maxRetryAfterUs(),
                clients.nodeSkew()));
        Fleet.Nodes nodes = fleet.nodes();
        fleet = fleet.with(new Fleet.Nodes(
                section.integer("nodes", nodes.count()),
                nodes.eventCostUs(),
                nodes.cores(),
                nodes.startupUs(),
                nodes.failureDetectionUs()));
        List<Fleet.Fault> faults = new ArrayList<>(fleet.faults());
        section.repeatedBlocks("fault").forEach(fault -> faults.add(FleetFile.readFault(fault)));
        fleet = fleet.withFaults(faults);
        List<Double> loads = section.numbers("loads");
        List<Double> boxes = section.numbers("boxes");
        String kind = boxes.isEmpty() ? "" : section.text("of");
        section.reportUnknownFields();
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
            errors.add("scenario \"" + name + "\".of: there is no kind \"" + kind + "\" in the fleet");
        }
        for (double count : boxes) {
            Fleet all = fleet;
            variants.add(new Experiment.Variant(
                    name + ", " + kind + " " + (int) count,
                    name,
                    count,
                    true,
                    all.withKinds(all.kinds().stream()
                            .map(k -> k.name().equals(kind) ? withCount(k, (int) count) : k)
                            .toList())));
        }
    }

    private static Fleet.Load withProfile(Fleet.Load load, Section section) {
        List<Fleet.LoadPoint> profile = new ArrayList<>();
        for (Section point : section.repeatedBlocks("point")) {
            profile.add(new Fleet.LoadPoint(point.durationUs("at", 0), point.number("times", Double.NaN)));
            point.reportUnknownFields();
        }
        return profile.isEmpty()
                ? load
                : new Fleet.Load(load.ratePerS(), load.durationUs(), profile, load.quotaPerS(), load.overShareWorth());
    }

    private static Fleet.ServerKind withCount(Fleet.ServerKind kind, int count) {
        return new Fleet.ServerKind(
                kind.name(),
                count,
                kind.cores(),
                kind.speed(),
                kind.speedCv(),
                kind.queueCapacity(),
                kind.initialCapacityRatio(),
                kind.warmUpUs(),
                kind.warmsByWork(),
                kind.cost());
    }

    private static void validate(
            List<Experiment.Variant> variants, List<Experiment.Environment> environments, List<String> errors) {
        require(
                errors,
                !variants.isEmpty() && variants.size() <= MAX_VARIANT_COUNT,
                "scenario: the number of variants must be from 1 to " + MAX_VARIANT_COUNT + ", not " + variants.size());
        Set<String> names = new HashSet<>();
        for (Experiment.Variant variant : variants) {
            String prefix = "scenario \"" + variant.name() + "\": ";
            require(errors, names.add(variant.name()), prefix + "is there twice");
            require(
                    errors,
                    variant.name().indexOf('\t') < 0 && variant.name().indexOf('\n') < 0,
                    prefix + "its name contains a tab or a line break");
            variant.fleet().validate().forEach(fault -> errors.add(prefix + fault));
            if (environments.contains(Experiment.Environment.LOOPBACK)) {
                require(
                        errors,
                        variant.fleet().nodes().count() <= MAX_NODE_COUNT,
                        prefix + "over sockets at most " + MAX_NODE_COUNT + " nodes can be started");
                require(
                        errors,
                        variant.fleet().serverCount() <= MAX_SERVER_COUNT,
                        prefix + "over sockets at most " + MAX_SERVER_COUNT + " servers can be started");
                require(
                        errors,
                        variant.fleet().faults().stream()
                                .noneMatch(fault ->
                                        fault.kind() == Fleet.FaultKind.VANISH || fault.kind() == Fleet.FaultKind.CUT),
                        prefix + "the faults vanish and cut cannot be played over loopback;"
                                + " use where = [\"emulator\"]");
                require(
                        errors,
                        variant.fleet().zones().crossZoneDelayUs() == 0,
                        prefix + "there is no delay between zones over loopback: across must be 0");
            }
        }
    }

    private static void require(List<String> errors, boolean condition, String error) {
        if (!condition) {
            errors.add(error);
        }
    }
}
