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
 * Faults that an operator injects into a running fleet by key or by script. A script has one action per line, such as
 * {@code 3s kill std-1}, {@code 8s back std-1} or {@code 10s flood school-b}. This class has no state; reading keys
 * and timing are up to the caller.
 */
public final class FaultScript {
    private static final Pattern LINE_PATTERN = Pattern.compile("(\\d+(?:\\.\\d+)?)s\\s+(\\w+)(?:\\s+(\\S+))?");
    /** A fault that is not ended by hand ends after this time, so that none persists by oversight. */
    private static final long MAX_FAULT_DURATION_US = 600_000_000;

    private static final double SLOWDOWN_FACTOR = 5;
    private static final double FAILURE_RATIO = 0.9;
    private static final double FLOOD_LOAD_FACTOR = 10;
    private static final long FLOOD_DURATION_US = 5_000_000;

    private FaultScript() {}

    /** The actions. */
    public enum Action {
        /** Kills a server's process. */
        KILL("k"),
        /** Makes a server silent. */
        SILENCE("s"),
        /** Makes a server take five times as long. */
        SLOW("l"),
        /** Makes a server fail nine out of ten requests. */
        FAIL("f"),
        /** Drains a server, ends it and starts it again cold. */
        DRAIN("d"),
        /** Ends all faults of a server. */
        BACK("b"),
        /** Kills the node and starts it again. */
        RESTART("r"),
        /** Makes a tenant send ten times its load for five seconds. */
        FLOOD("t");

        private final String key;

        Action(String key) {
            this.key = key;
        }

        /** Returns the key that triggers the action. */
        public String key() {
            return key;
        }

        /** Returns whether the action applies to a server. */
        public boolean targetsBox() {
            return this != RESTART && this != FLOOD;
        }
    }

    /**
     * An action with its time.
     *
     * @param atUs microseconds after the start of the run
     * @param target the id of a server or the name of a tenant; empty if the action needs none
     */
    public record TimedAction(long atUs, Action action, String target) {}

    /**
     * Parses a script. Empty lines and lines that start with # are ignored.
     *
     * @param errors receives one message for each invalid line, with the line's number
     * @return the valid actions, ordered by time
     */
    public static List<TimedAction> parse(String text, Fleet fleet, List<String> errors) {
        List<TimedAction> actions = new ArrayList<>();
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
            String statement = line.strip();
            if (statement.isEmpty() || statement.startsWith("#")) {
                continue;
            }
            Matcher parts = LINE_PATTERN.matcher(statement);
            String prefix = "line " + number + ": ";
            if (!parts.matches()) {
                errors.add(prefix + "is not like \"3s kill std-1\": " + statement);
                continue;
            }
            Action action = null;
            for (Action candidate : Action.values()) {
                action = candidate.name().toLowerCase(Locale.ROOT).equals(parts.group(2)) ? candidate : action;
            }
            String target = parts.group(3) == null ? "" : parts.group(3);
            if (action == null) {
                errors.add(prefix + "there is no action \"" + parts.group(2) + "\"");
            } else if (action.targetsBox() && !boxes.contains(target)) {
                errors.add(prefix + "there is no server \"" + target + "\"; there are " + String.join(", ", boxes));
            } else if (action == Action.FLOOD && !tenants.contains(target)) {
                errors.add(prefix + "there is no tenant \"" + target + "\"; there are " + String.join(", ", tenants));
            } else {
                actions.add(new TimedAction(Math.round(Double.parseDouble(parts.group(1)) * 1e6), action, target));
            }
        }
        actions.sort(Comparator.comparingLong(TimedAction::atUs));
        return actions;
    }

    /** Applies an action to a running fleet. */
    public static void apply(Action action, String target, Fleet fleet, Emulation emulation) {
        switch (action) {
            case KILL -> emulation.injectFault(Fleet.FaultKind.DIE, target, MAX_FAULT_DURATION_US, 0);
            case SILENCE -> emulation.injectFault(Fleet.FaultKind.VANISH, target, MAX_FAULT_DURATION_US, 0);
            case SLOW -> emulation.injectFault(Fleet.FaultKind.SLOW, target, MAX_FAULT_DURATION_US, SLOWDOWN_FACTOR);
            case FAIL -> emulation.injectFault(Fleet.FaultKind.FAIL, target, MAX_FAULT_DURATION_US, FAILURE_RATIO);
            case DRAIN -> emulation.injectFault(Fleet.FaultKind.RELEASE, target, 1_000_000, 1);
            case BACK -> emulation.recover(target);
            case RESTART -> emulation.restartNode();
            case FLOOD -> {
                int tenant = fleet.tenants().stream()
                        .map(Fleet.TenantShare::name)
                        .toList()
                        .indexOf(target);
                Fleet.TenantShare share = fleet.tenants().get(tenant);
                double totalUsage = fleet.tenants().stream()
                        .mapToDouble(t -> t.share() * t.usageRatio())
                        .sum();
                emulation.addTenantLoad(
                        tenant,
                        (FLOOD_LOAD_FACTOR - 1)
                                * fleet.load().ratePerS()
                                * share.share()
                                * share.usageRatio()
                                / totalUsage,
                        FLOOD_DURATION_US);
            }
        }
    }
}
