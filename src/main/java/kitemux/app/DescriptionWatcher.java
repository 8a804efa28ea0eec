package kitemux.app;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Decides how a process reacts when its description changes.
 *
 * <p>A new text is parsed only after two consecutive observations of the same text, so that a file that is still being
 * written is not read. A missing or invalid description changes nothing. Servers, pools and
 * the fields that only checks use (networks, never_twice, journaled, keys) can change at run time. A change that also
 * affects anything else is rejected as a whole, because a partial change would be a description that nobody wrote. The class does no I/O: the caller reads the file at its own interval.
 */
public final class DescriptionWatcher {
    private App current;
    private String lastHandledText;
    private String lastObservedText;

    /**
     * Reaction to an observation.
     *
     * @param newApp the description to apply; null to keep the current one
     * @param messages messages for the operators; empty if there is nothing new
     */
    public record Decision(App newApp, List<String> messages) {
        private static final Decision NO_CHANGE = new Decision(null, List.of());
    }

    /**
     * Creates a watcher.
     *
     * @param app the description in force
     * @param text the text it was parsed from
     */
    public DescriptionWatcher(App app, String text) {
        current = app;
        lastHandledText = text;
        lastObservedText = text;
    }

    /**
     * Handles an observation of the description.
     *
     * @param text the current text; null if it cannot be read
     */
    public Decision observe(String text) {
        boolean settled = Objects.equals(text, lastObservedText);
        lastObservedText = text;
        if (!settled || Objects.equals(text, lastHandledText)) {
            return Decision.NO_CHANGE;
        }
        // Recorded before parsing, so that a problem is reported once and not at every observation.
        lastHandledText = text;
        if (text == null) {
            return new Decision(
                    null, List.of("the description cannot be read any more; its last valid version remains in use"));
        }
        AppParser.Result result = AppParser.parse(text);
        if (!result.findings().isEmpty()) {
            List<String> messages = new ArrayList<>();
            result.findings()
                    .forEach(
                            finding -> messages.add(result.places().withLocation("the description", finding.format())));
            messages.add("the changed description is invalid; what it said before holds");
            return new Decision(null, messages);
        }
        App next = result.app();
        List<String> changedFields = changesRequiringRestart(current, next);
        if (!changedFields.isEmpty()) {
            return new Decision(
                    null,
                    List.of("the description has changed in " + String.join(", ", changedFields)
                            + ", which requires a restart; no part of the change is applied"));
        }
        if (next.equals(current)) {
            return new Decision(null, List.of("the description has changed only in form; there is nothing to apply"));
        }
        List<String> messages = Differences.between(current, next);
        current = next;
        return new Decision(next, messages);
    }

    /**
     * Returns the names of the changed fields and blocks that cannot change at run time: all but servers, pools,
     * networks, never_twice, journaled and keys.
     */
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
