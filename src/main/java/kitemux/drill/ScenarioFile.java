package kitemux.drill;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import kitemux.drill.Fault.Way;
import kitemux.drill.Fault.What;
import kitemux.fleet.Fleet;
import kitemux.hcl.Section;
import kitemux.hcl.SourceLocations;
import kitemux.plan.FleetFile;

/** Reads a drill from its description in HCL; {@code docs/operate/drill.md} has all fields. */
public final class ScenarioFile {
    private static final int MOST_NODES = 16;
    private static final int MOST_BOXES = 200;
    private static final long MOST_LENGTH_US = 900_000_000L;
    private static final long MOST_DELAY_US = 10_000_000;
    private static final long MOST_LASTS_US = 60_000_000;
    /** Ways of one fault; all nodes to all servers of the largest drill. */
    private static final int MOST_LINKS = MOST_NODES * MOST_BOXES;

    private enum Direction {
        BOTH,
        THERE,
        BACK
    }

    private ScenarioFile() {}

    /**
     * @param file what faults call the description
     * @param seed in place of the description's own; null for that
     * @param faults gets all that is wrong, of the fleet too, one line each with place, field and reason
     * @return the drill; not to be played if there are faults
     */
    public static Scenario read(String file, String text, Long seed, FleetFile.FileSource texts, List<String> faults) {
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
        Scenario read = scenario(new Section("", parsed, own), seed, texts, own, ofFleet);
        faults.addAll(SourceLocations.faultsWithLocations(file, text, own));
        faults.addAll(ofFleet);
        return read;
    }

    private static Scenario scenario(
            Section all, Long given, FleetFile.FileSource texts, List<String> own, List<String> ofFleet) {
        Fleet fleet = FleetFile.readNamed(all.text("fleet"), texts, own, ofFleet);
        long seed = given == null ? all.integer("seed", 1) : given;
        if (given != null) {
            all.integer("seed", 1);
        }
        int nodes = all.integer("nodes", 0);
        long length = all.durationUs("length", 0);
        long repeat = all.durationUs("repeat_grace", 400_000);
        Section limits = all.blockOrEmpty("bounds");
        Scenario.Bounds bounds = new Scenario.Bounds(
                limits.integer("attempts", 0), limits.integer("dials", 0), limits.integer("calls", 0));
        limits.reportUnknownFields();
        require(
                own,
                bounds.attempts() >= 0 && bounds.dials() >= 0 && bounds.calls() >= 0,
                "bounds: must not be under 0");
        Section answers = all.blockOrEmpty("long_answers");
        Scenario.LongAnswers longAnswers = new Scenario.LongAnswers(
                answers.number("share", 0), answers.durationUs("lasts", 1_000_000), answers.number("stops", 0));
        answers.reportUnknownFields();
        require(
                own,
                isShare(longAnswers.share()) && isShare(longAnswers.stops()),
                "long_answers: share or stops is not from 0 to 1");
        require(
                own,
                longAnswers.lastsUs() >= 100_000 && longAnswers.lastsUs() <= MOST_LASTS_US,
                "long_answers.lasts: is not from 100ms to 60s");
        if (fleet == null) {
            return null;
        }
        Fleet.Load load = fleet.load();
        Fleet.Nodes of = fleet.nodes();
        fleet = fleet.with(new Fleet.Load(
                        load.ratePerS(),
                        length == 0 ? load.durationUs() : length,
                        load.profile(),
                        load.quotaPerS(),
                        load.overShareWorth()))
                .with(new Fleet.Nodes(
                        nodes == 0 ? of.count() : nodes,
                        of.eventCostUs(),
                        of.cores(),
                        of.startupUs(),
                        of.failureDetectionUs()));
        check(fleet, own);
        long lengthUs = fleet.load().durationUs();
        List<Fault> faults = new ArrayList<>();
        if (own.isEmpty()) {
            Parties parties = new Parties(fleet);
            SplittableRandom draws = new SplittableRandom(seed);
            all.labelledBlocks("fault", false)
                    .forEach(
                            (name, section) -> faults.add(fault(name, section, parties, draws.split(), lengthUs, own)));
            faults.sort(Comparator.comparingLong(Fault::atUs));
        }
        List<Scenario.Phase> phases = new ArrayList<>();
        all.labelledBlocks("phase", false).forEach((name, section) -> {
            Scenario.Phase phase =
                    new Scenario.Phase(name, section.durationUs("from", -1), section.durationUs("to", -1));
            section.reportUnknownFields();
            require(own, phase.fromUs() < phase.toUs(), "phase \"" + name + "\".to: is not after from");
            phases.add(phase);
        });
        if (own.isEmpty()) {
            all.reportUnknownFields();
        }
        return new Scenario(fleet, seed, faults, phases, repeat, bounds, longAnswers);
    }

    private static boolean isShare(double number) {
        return number >= 0 && number <= 1;
    }

    private static void check(Fleet fleet, List<String> own) {
        require(
                own,
                fleet.nodes().count() >= 1 && fleet.nodes().count() <= MOST_NODES,
                "nodes: is not from 1 to " + MOST_NODES);
        require(own, fleet.serverCount() <= MOST_BOXES, "fleet: has more than " + MOST_BOXES + " servers");
        require(
                own,
                fleet.load().durationUs() >= 1_000_000 && fleet.load().durationUs() <= MOST_LENGTH_US,
                "length: is not from 1s to 15m");
        require(
                own,
                fleet.zones().crossZoneDelayUs() == 0,
                "fleet: its zones are apart; take faults of the drill that slow the ways between parties");
        require(
                own,
                fleet.faults().stream()
                        .noneMatch(f -> f.kind() == Fleet.FaultKind.CUT || f.kind() == Fleet.FaultKind.NODES_RESTART),
                "fleet: cuts and nodes that restart are faults of the drill, not of its fleet");
        fleet.validate().forEach(fault -> own.add("fleet: " + fault));
    }

    private static Fault fault(
            String name, Section of, Parties parties, SplittableRandom draws, long lengthUs, List<String> own) {
        String path = "fault \"" + name + "\".";
        What what = of.enumValue("what", What.class, null);
        long at = of.durationUs("at", -1);
        long lasts = what == What.RESET ? 0 : of.durationUs("for", -1);
        int count = of.integer("count", 0);
        List<Integer> nodes = new ArrayList<>();
        Set<Way> links = new LinkedHashSet<>();
        Direction direction = Direction.BOTH;
        if (what.isOfWays()) {
            direction = of.enumValue("ways", Direction.class, Direction.BOTH);
            List<String> from = parties(of, path, "from", parties, own);
            List<String> to = drawn(parties(of, path, "to", parties, own), count, draws);
            for (String one : from) {
                for (String other : to) {
                    Way way = parties.way(one, other);
                    if (way != null) {
                        links.add(way);
                    }
                }
            }
            // What goes there is meant from the first party on, which may be the one that is dialled.
            boolean turned =
                    !links.isEmpty() && !from.contains(links.iterator().next().from());
            direction = turned && direction != Direction.BOTH
                    ? direction == Direction.THERE ? Direction.BACK : Direction.THERE
                    : direction;
            require(
                    own,
                    !links.isEmpty() || from.isEmpty() || to.isEmpty(),
                    path
                            + "to: there is no way between " + from + " and " + to
                            + "; there are ways between nodes and"
                            + " clients, boxes or list");
            require(own, links.size() <= MOST_LINKS, path + "to: befalls more than " + MOST_LINKS + " ways");
        } else {
            for (String party : drawn(parties(of, path, "on", parties, own), count, draws)) {
                require(
                        own,
                        Parties.number(party) >= 0,
                        path + "on: " + party + " is no node; what befalls" + " servers is a fault of the fleet");
                nodes.add(Parties.number(party));
            }
        }
        boolean slow = what == What.SLOW;
        Fault read = new Fault(
                name,
                what,
                at,
                lasts,
                List.copyOf(links),
                nodes,
                direction != Direction.BACK,
                direction != Direction.THERE,
                slow ? of.durationUs("delay", 0) : 0,
                slow ? of.durationUs("spread", 0) : 0,
                slow ? of.number("bytes_per_s", 0) : 0,
                what == What.FLAP ? of.durationUs("every", -1) : 0);
        of.reportUnknownFields();
        require(own, at < lengthUs, path + "at: is not within the drill's length");
        require(
                own,
                read.delayUs() <= MOST_DELAY_US && read.spreadUs() <= MOST_DELAY_US,
                path + "delay: is over 10s, as is spread, or one of them");
        require(own, read.bytesPerS() >= 0, path + "bytes_per_s: is under 0");
        require(
                own,
                !slow || read.delayUs() + read.spreadUs() > 0 || read.bytesPerS() > 0,
                path + "delay: must be given, or spread or bytes_per_s");
        require(own, what != What.FLAP || read.everyUs() >= 20_000, path + "every: is under 20ms");
        return read;
    }

    private static List<String> parties(Section of, String path, String field, Parties parties, List<String> own) {
        Set<String> found = new LinkedHashSet<>();
        List<String> names = of.texts(field, List.of());
        require(own, !names.isEmpty(), path + field + ": must name parties; there are " + parties.known());
        for (String name : names) {
            List<String> called = parties.called(name);
            if (called == null) {
                own.add(path + field + ": there is no \"" + name + "\"; there are " + parties.known());
            } else {
                found.addAll(called);
            }
        }
        return new ArrayList<>(found);
    }

    /** So many of them, each as likely; all where none are said. */
    private static List<String> drawn(List<String> from, int count, SplittableRandom draws) {
        if (count <= 0 || count >= from.size()) {
            return from;
        }
        List<String> left = new ArrayList<>(from);
        List<String> drawn = new ArrayList<>();
        while (drawn.size() < count) {
            drawn.add(left.remove(draws.nextInt(left.size())));
        }
        return drawn;
    }

    private static void require(List<String> own, boolean holds, String otherwise) {
        if (!holds) {
            own.add(otherwise);
        }
    }
}
