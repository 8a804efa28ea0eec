package kitemux.lab;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import kitemux.fleet.Emulation;
import kitemux.fleet.Fleet;

/**
 * What a person does to a fleet that is tried out, by hand or from a script: a line a deed, such as {@code
 * 3s kill std-1},
 * {@code 8s back std-1}, {@code 10s flood school-b}. Pure: who reads keys and lets time pass is not its
 * affair.
 */
public final class FaultScript {
    private static final Pattern LINE = Pattern.compile("(\\d+(?:\\.\\d+)?)s\\s+(\\w+)(?:\\s+(\\S+))?");
    /** A trouble that is not ended by hand ends by itself, so that nothing stays as it is by oversight. */
    private static final long FOR_US = 600_000_000;

    private static final double SLOWER = 5;
    private static final double FAILING = 0.9;
    private static final double FLOOD = 10;
    private static final long FLOOD_US = 5_000_000;

    private FaultScript() {}

    /** What may be done. */
    public enum Action {
        /** Its process dies. */
        KILL("k"),
        /** It says nothing more. */
        SILENCE("s"),
        /** It takes five times as long. */
        SLOW("l"),
        /** It fails nine requests in ten. */
        FAIL("f"),
        /** It drains, ends and comes back cold. */
        DRAIN("d"),
        /** It is itself again. */
        BACK("b"),
        /** The node is killed and starts anew. */
        RESTART("r"),
        /** A tenant asks ten times as much for five seconds. */
        FLOOD("t");

        private final String key;

        Action(String key) {
            this.key = key;
        }

        /** The key that does it. */
        public String key() {
            return key;
        }

        /** Whether it is done to a server. */
        public boolean targetsBox() {
            return this != RESTART && this != FLOOD;
        }
    }

    /**
     * A deed at its time.
     *
     * @param target a server's id or a tenant's name; empty where it needs none
     */
    public record TimedAction(long atUs, Action action, String target) {}

    /**
     * Reads a script; empty lines and those that begin with # say nothing.
     *
     * @param faults one line is added for each, with the line's number
     */
    public static List<TimedAction> parse(String text, Fleet fleet, List<String> faults) {
        List<TimedAction> all = new ArrayList<>();
        List<String> boxes = new ArrayList<>();
        fleet.kinds().forEach(kind -> {
            for (int i = 0; i < kind.count(); i++) {
                boxes.add(kind.name() + "-" + i);
            }
        });
        List<String> tenants =
                fleet.tenants().stream().map(Fleet.TenantShare::name).toList();
        int number = 0;
        for (String line : text.lines().toList()) {
            number++;
            String said = line.strip();
            if (said.isEmpty() || said.startsWith("#")) {
                continue;
            }
            Matcher parts = LINE.matcher(said);
            String at = "line " + number + ": ";
            if (!parts.matches()) {
                faults.add(at + "is not like \"3s kill std-1\": " + said);
                continue;
            }
            Action deed = null;
            for (Action one : Action.values()) {
                deed = one.name().toLowerCase(Locale.ROOT).equals(parts.group(2)) ? one : deed;
            }
            String to = parts.group(3) == null ? "" : parts.group(3);
            if (deed == null) {
                faults.add(at + "there is no deed \"" + parts.group(2) + "\"");
            } else if (deed.targetsBox() && !boxes.contains(to)) {
                faults.add(at + "there is no server \"" + to + "\"; there are " + String.join(", ", boxes));
            } else if (deed == Action.FLOOD && !tenants.contains(to)) {
                faults.add(at + "there is no tenant \"" + to + "\"; there are " + String.join(", ", tenants));
            } else {
                all.add(new TimedAction(Math.round(Double.parseDouble(parts.group(1)) * 1e6), deed, to));
            }
        }
        all.sort(Comparator.comparingLong(TimedAction::atUs));
        return all;
    }

    /** Does it to a fleet that is played. */
    public static void apply(Action deed, String to, Fleet fleet, Emulation live) {
        switch (deed) {
            case KILL -> live.injectFault(Fleet.FaultKind.DIE, to, FOR_US, 0);
            case SILENCE -> live.injectFault(Fleet.FaultKind.VANISH, to, FOR_US, 0);
            case SLOW -> live.injectFault(Fleet.FaultKind.SLOW, to, FOR_US, SLOWER);
            case FAIL -> live.injectFault(Fleet.FaultKind.FAIL, to, FOR_US, FAILING);
            case DRAIN -> live.injectFault(Fleet.FaultKind.RELEASE, to, 1_000_000, 1);
            case BACK -> live.recover(to);
            case RESTART -> live.restartNode();
            case FLOOD -> {
                int tenant = fleet.tenants().stream()
                        .map(Fleet.TenantShare::name)
                        .toList()
                        .indexOf(to);
                Fleet.TenantShare of = fleet.tenants().get(tenant);
                double all = fleet.tenants().stream()
                        .mapToDouble(t -> t.share() * t.usageRatio())
                        .sum();
                live.addTenantLoad(
                        tenant, (FLOOD - 1) * fleet.load().ratePerS() * of.share() * of.usageRatio() / all, FLOOD_US);
            }
        }
    }
}
