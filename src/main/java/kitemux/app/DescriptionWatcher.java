package kitemux.app;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * What becomes of a description that changes while a process runs by it. A text counts once it was the
 * same at
 * two looks, so that one which is just being written is not read; one that is gone or broken changes nothing.
 * Servers may change, all else needs a new process: half a change would be a description that nobody wrote.
 * Pure: who looks, and how often, is not its affair.
 */
public final class DescriptionWatcher {
    private App holds;
    private String heldText;
    private String lastText;

    /**
     * What a look leads to.
     *
     * @param newApp the description to go on by, or null to go on as it is
     * @param messages lines for the operators; empty where nothing is new
     */
    public record Decision(App newApp, List<String> messages) {
        private static final Decision NOTHING = new Decision(null, List.of());
    }

    /**
     * Begins with a description that holds.
     *
     * @param text that it was read from
     */
    public DescriptionWatcher(App app, String text) {
        holds = app;
        heldText = text;
        lastText = text;
    }

    /** A look at the description: its text, or null where it cannot be read. */
    public Decision observe(String text) {
        boolean settled = Objects.equals(text, lastText);
        lastText = text;
        if (!settled || Objects.equals(text, heldText)) {
            return Decision.NOTHING;
        }
        // Told once, and not at each look.
        heldText = text;
        if (text == null) {
            return new Decision(null, List.of("the description cannot be read any more; what it said holds"));
        }
        AppParser.Result reading = AppParser.parse(text);
        if (!reading.findings().isEmpty()) {
            List<String> say = new ArrayList<>();
            reading.findings().forEach(f -> say.add(reading.places().withLocation("the description", f.format())));
            say.add("the description has changed and is not sound; what it said before holds");
            return new Decision(null, say);
        }
        App next = reading.app();
        List<String> fixed = needsANewProcess(holds, next);
        if (!fixed.isEmpty()) {
            return new Decision(
                    null,
                    List.of("the description has changed in " + String.join(", ", fixed)
                            + ", which needs a new process; all of what it said before holds"));
        }
        if (next.equals(holds)) {
            return new Decision(null, List.of("the description reads differently and means the same"));
        }
        List<String> say = Differences.between(holds, next);
        holds = next;
        return new Decision(next, say);
    }

    /** What differs besides servers and the pool that they are in. */
    private static List<String> needsANewProcess(App before, App next) {
        List<String> fixed = new ArrayList<>();
        differs(fixed, "name", before.name(), next.name());
        differs(fixed, "listen", before.listenAddress(), next.listenAddress());
        differs(fixed, "operators", before.operatorAddress(), next.operatorAddress());
        differs(fixed, "discovery", before.discoveryAddress(), next.discoveryAddress());
        differs(fixed, "members", before.members(), next.members());
        differs(fixed, "health", before.health(), next.health());
        differs(fixed, "logs", before.logs(), next.logs());
        differs(fixed, "class", before.classes(), next.classes());
        differs(fixed, "tenant", before.tenants(), next.tenants());
        differs(fixed, "quota", before.quotaPerS(), next.quotaPerS());
        differs(fixed, "limits", before.limits(), next.limits());
        differs(fixed, "rules", before.rules(), next.rules());
        differs(fixed, "orders", before.journal(), next.journal());
        return fixed;
    }

    private static void differs(List<String> fixed, String what, Object before, Object next) {
        if (!Objects.equals(before, next)) {
            fixed.add(what);
        }
    }
}
