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
    private App current;
    private String lastHandledText;
    private String lastObservedText;

    /**
     * What a look leads to.
     *
     * @param newApp the description to go on by, or null to go on as it is
     * @param messages lines for the operators; empty where nothing is new
     */
    public record Decision(App newApp, List<String> messages) {
        private static final Decision NO_CHANGE = new Decision(null, List.of());
    }

    /**
     * Begins with a description that holds.
     *
     * @param text that it was read from
     */
    public DescriptionWatcher(App app, String text) {
        current = app;
        lastHandledText = text;
        lastObservedText = text;
    }

    /** A look at the description: its text, or null where it cannot be read. */
    public Decision observe(String text) {
        boolean settled = Objects.equals(text, lastObservedText);
        lastObservedText = text;
        if (!settled || Objects.equals(text, lastHandledText)) {
            return Decision.NO_CHANGE;
        }
        // Told once, and not at each look.
        lastHandledText = text;
        if (text == null) {
            return new Decision(null, List.of("the description cannot be read any more; what it said holds"));
        }
        AppParser.Result result = AppParser.parse(text);
        if (!result.findings().isEmpty()) {
            List<String> messages = new ArrayList<>();
            result.findings()
                    .forEach(finding -> messages.add(result.places().with("the description", finding.format())));
            messages.add("the description has changed and is not sound; what it said before holds");
            return new Decision(null, messages);
        }
        App next = result.app();
        List<String> changedFields = changesRequiringRestart(current, next);
        if (!changedFields.isEmpty()) {
            return new Decision(
                    null,
                    List.of("the description has changed in " + String.join(", ", changedFields)
                            + ", which needs a new process; all of what it said before holds"));
        }
        if (next.equals(current)) {
            return new Decision(null, List.of("the description reads differently and means the same"));
        }
        List<String> messages = Differences.between(current, next);
        current = next;
        return new Decision(next, messages);
    }

    /** What differs besides servers and the pool that they are in. */
    private static List<String> changesRequiringRestart(App before, App next) {
        List<String> changedFields = new ArrayList<>();
        addIfChanged(changedFields, "name", before.name(), next.name());
        addIfChanged(changedFields, "listen", before.listenAddress(), next.listenAddress());
        addIfChanged(changedFields, "operators", before.operatorAddress(), next.operatorAddress());
        addIfChanged(changedFields, "discovery", before.discoveryAddress(), next.discoveryAddress());
        addIfChanged(changedFields, "members", before.members(), next.members());
        addIfChanged(changedFields, "health", before.health(), next.health());
        addIfChanged(changedFields, "logs", before.logs(), next.logs());
        addIfChanged(changedFields, "class", before.classes(), next.classes());
        addIfChanged(changedFields, "tenant", before.tenants(), next.tenants());
        addIfChanged(changedFields, "quota", before.quotaPerS(), next.quotaPerS());
        addIfChanged(changedFields, "limits", before.limits(), next.limits());
        addIfChanged(changedFields, "rules", before.rules(), next.rules());
        addIfChanged(changedFields, "orders", before.journal(), next.journal());
        return changedFields;
    }

    private static void addIfChanged(List<String> changedFields, String field, Object before, Object next) {
        if (!Objects.equals(before, next)) {
            changedFields.add(field);
        }
    }
}
