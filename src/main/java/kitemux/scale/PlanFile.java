package kitemux.scale;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import kitemux.hcl.Section;
import kitemux.hcl.SourceLocations;

/** Reads what is to be measured from its description in HCL; {@code docs/operate/scale.md} has all fields. */
public final class PlanFile {
    private static final int MOST_SERVERS = 20_000;
    private static final int MOST_NODES = 1_000;
    private static final int MOST_TENANTS = 50_000;
    /** Half of what the machine may hold of processes for this; each takes a JVM. */
    private static final int MOST_PROCESSES = 100;

    private static final long MOST_STAGE_US = 300_000_000L;
    /** News of a large fleet takes minutes to be told; nothing else is measured meanwhile. */
    private static final long MOST_PEERS_US = 600_000_000L;

    private static final long MOST_LIMIT_US = 900_000_000L;

    private PlanFile() {}

    /**
     * @param file what faults call the description
     * @param text the description
     * @param faults gets all that is wrong, one line each with place, field and reason
     * @return the plan; not to be run if there are faults
     */
    public static Plan read(String file, String text, List<String> faults) {
        Map<String, Object> parsed;
        try {
            parsed = new HCLParser().parse(text);
        } catch (HCLParserException | IOException | RuntimeException e) {
            faults.add(file + ": this is not HCL: "
                    + String.valueOf(e.getMessage()).replace('\n', ' '));
            return null;
        }
        List<String> own = new ArrayList<>();
        Plan plan = new Reader(own).plan(new Section("", parsed, own));
        faults.addAll(SourceLocations.faultsWithLocations(file, text, own));
        return plan;
    }

    private static final class Reader {
        private final List<String> faults;

        Reader(List<String> faults) {
            this.faults = faults;
        }

        private Plan plan(Section all) {
            long seed = all.integer("seed", 1);
            Section of = all.blockOrEmpty("full");
            Plan.Full full = new Plan.Full(
                    number(of, "nodes", 420, MOST_NODES),
                    number(of, "servers", 4_800, MOST_SERVERS),
                    number(of, "services", 230, MOST_SERVERS),
                    number(of, "zones", 8, 100),
                    number(of, "tenants", 11_000, MOST_TENANTS),
                    number(of, "changes_a_minute", 600, 6_000));
            of.reportUnknownFields();
            List<Plan.Event> told = new ArrayList<>();
            all.labelledBlocks("event", false).forEach((name, event) -> {
                boolean ends = event.bool("watches_end", false);
                told.add(new Plan.Event(
                        name,
                        ends ? -1 : number(event, "servers", Double.NaN, full.servers()),
                        number(event, "in_line", 1, MOST_SERVERS),
                        event.bool("drains", false),
                        event.bool("hollow", true)));
                if (!name.matches("[a-z0-9-]+")) {
                    faults.add("event \"" + name + "\": its name is not of a to z, 0 to 9 and -");
                }
                event.reportUnknownFields();
            });
            Plan plan = new Plan(
                    seed,
                    time(all, "settle", 3_000_000),
                    time(all, "limit", 600_000_000, MOST_LIMIT_US),
                    full,
                    list(all),
                    nodes(all),
                    peers(all),
                    tenants(all, full),
                    changes(all, full),
                    paired(all, full, told.size()),
                    events(all, full),
                    told);
            all.reportUnknownFields();
            return plan;
        }

        private int number(Section of, String field, double otherwise, int most) {
            int number = of.integer(field, otherwise);
            if (number < 1 || number > most) {
                faults.add(of.pathOf(field) + ": is not from 1 to " + most);
            }
            return number;
        }

        private List<Integer> numbers(Section of, String field, int most) {
            List<Integer> found = new ArrayList<>();
            for (double number : of.numbers(field)) {
                if (number < 1
                        || number > most
                        || number != Math.rint(number)
                        || !found.isEmpty() && number <= found.get(found.size() - 1)) {
                    faults.add(of.pathOf(field) + ": must hold whole numbers from 1 to " + most + " that grow, not "
                            + number);
                    return List.of(1);
                }
                found.add((int) number);
            }
            if (found.isEmpty()) {
                faults.add(of.pathOf(field) + ": must hold at least one number");
                return List.of(1);
            }
            return found;
        }

        private long time(Section of, String field, long otherwise) {
            return time(of, field, otherwise, MOST_STAGE_US);
        }

        private long time(Section of, String field, long otherwise, long most) {
            long us = of.durationUs(field, otherwise);
            if (us < 1_000 || us > most) {
                if (us != 1) {
                    // That is what stands for one that could not be read, of which is told already.
                    faults.add(of.pathOf(field) + ": is not from 1ms to " + most / 1_000_000 + "s");
                }
                return 1_000;
            }
            return us;
        }

        /** A stage must end: what it takes at least, without the starts of processes, is bounded. */
        private void bounded(Section of, double us) {
            bounded(of, us, MOST_STAGE_US);
        }

        private void bounded(Section of, double us, long most) {
            if (us > most) {
                faults.add(of.pathOf("").replaceAll("\\.$", "") + ": takes " + Math.round(us / 1e6) + " s, more than "
                        + most / 1_000_000);
            }
        }

        private Plan.Lists list(Section all) {
            Section of = all.block("list", false);
            if (of == null) {
                return null;
            }
            Plan.Lists lists = new Plan.Lists(
                    numbers(of, "servers", MOST_SERVERS),
                    time(of, "quiet", 10_000_000),
                    number(of, "first", 20, 10_000),
                    number(of, "changes", 200, 10_000),
                    time(of, "every", 50_000),
                    number(of, "wholes", 5, 100));
            of.reportUnknownFields();
            bounded(
                    of,
                    lists.servers().size()
                            * (lists.quietUs() + (lists.first() + lists.changes()) * (double) lists.everyUs()));
            return lists;
        }

        private int inProcess(Section of, int nodes) {
            int inProcess = number(of, "in_process", 42, MOST_NODES);
            if (inProcess > 0 && (nodes + inProcess - 1) / inProcess > MOST_PROCESSES) {
                faults.add(of.pathOf("in_process") + ": makes more than " + MOST_PROCESSES + " processes");
            }
            return inProcess;
        }

        private Plan.Nodes nodes(Section all) {
            Section of = all.block("nodes", false);
            if (of == null) {
                return null;
            }
            List<Integer> nodes = numbers(of, "counts", MOST_NODES);
            Plan.Nodes stage = new Plan.Nodes(
                    nodes,
                    number(of, "servers", 4_800, MOST_SERVERS),
                    inProcess(of, nodes.get(nodes.size() - 1)),
                    time(of, "quiet", 10_000_000),
                    number(of, "changes", 20, 10_000),
                    time(of, "every", 500_000));
            of.reportUnknownFields();
            bounded(of, nodes.size() * (stage.quietUs() + stage.changes() * (double) stage.everyUs()));
            return stage;
        }

        private Plan.Peers peers(Section all) {
            Section of = all.block("peers", false);
            if (of == null) {
                return null;
            }
            List<Integer> nodes = numbers(of, "counts", MOST_NODES);
            Plan.Peers stage = new Plan.Peers(
                    nodes,
                    number(of, "servers", 60, MOST_SERVERS),
                    inProcess(of, nodes.get(nodes.size() - 1)),
                    time(of, "most", 200_000_000),
                    time(of, "quiet", 10_000_000));
            of.reportUnknownFields();
            bounded(of, nodes.size() * (double) (stage.mostUs() + stage.quietUs()), MOST_PEERS_US);
            return stage;
        }

        private Plan.Tenants tenants(Section all, Plan.Full full) {
            Section of = all.block("tenants", false);
            if (of == null) {
                return null;
            }
            Plan.Tenants stage = new Plan.Tenants(
                    numbers(of, "counts", MOST_TENANTS),
                    number(of, "servers", full.servers(), MOST_SERVERS),
                    time(of, "quiet", 10_000_000),
                    number(of, "changes", 50, 10_000),
                    time(of, "every", 50_000),
                    number(of, "rate", 117, 2_000));
            of.reportUnknownFields();
            bounded(of, stage.tenants().size() * (2.0 * stage.quietUs() + stage.changes() * (double) stage.everyUs()));
            return stage;
        }

        private Plan.Changes changes(Section all, Plan.Full full) {
            Section of = all.block("changes", false);
            if (of == null) {
                return null;
            }
            Plan.Changes stage = new Plan.Changes(
                    numbers(of, "a_minute", 6_000),
                    number(of, "servers", full.servers(), MOST_SERVERS),
                    time(of, "length", 20_000_000));
            of.reportUnknownFields();
            bounded(of, stage.aMinute().size() * (double) stage.lengthUs());
            return stage;
        }

        private Plan.Paired paired(Section all, Plan.Full full, int events) {
            Section of = all.block("p99", false);
            if (of == null) {
                return null;
            }
            Plan.Paired stage = new Plan.Paired(
                    numbers(of, "rates", 2_000),
                    number(of, "servers", full.servers(), MOST_SERVERS),
                    number(of, "turns", 4, 100),
                    time(of, "slice", 4_000_000));
            of.reportUnknownFields();
            bounded(of, stage.rates().size() * (2.0 + events) * stage.turns() * stage.sliceUs());
            return stage;
        }

        private Plan.Events events(Section all, Plan.Full full) {
            Section of = all.block("events", false);
            if (of == null) {
                return null;
            }
            int nodes = number(of, "nodes", full.nodes(), MOST_NODES);
            Plan.Events stage = new Plan.Events(
                    nodes,
                    number(of, "servers", full.servers(), MOST_SERVERS),
                    inProcess(of, nodes),
                    time(of, "quiet", 10_000_000),
                    number(of, "times", 3, 100));
            of.reportUnknownFields();
            return stage;
        }
    }
}
