package kitemux.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * All that was chosen and is known: the newest values, and the last {@link ProtocolParameters#MAX_HISTORY_VERSION_COUNT} versions one by
 * one. Nothing in it is ever taken back.
 */
public final class History {
    /** Path of the voters: a list of texts as of {@link Voter}. */
    public static final String VOTERS_PATH = "keepers/voters";

    /** Values as of the version before the oldest that is kept. */
    private SortedMap<String, String> snapshotValues = new TreeMap<>();

    private SortedMap<String, String> values = new TreeMap<>();
    private long snapshotRev;
    private final ArrayDeque<Version> versions = new ArrayDeque<>();
    private final Map<String, Version> versionsByChangeId = new HashMap<>();
    private final Map<String, Long> lastChangeRevByPath = new HashMap<>();

    private final List<Voter> initialVoters;

    /**
     * Nothing was chosen: version 0, without values.
     *
     * @param founding the voters as long as no version names others; the same at all keepers
     */
    public History(List<Voter> initialVoters) {
        this.initialVoters = List.copyOf(initialVoters);
    }

    /** Who decides the next version. */
    public List<Voter> voters() {
        List<Voter> named = values.containsKey(VOTERS_PATH) ? RolloutText.readVoters(values.get(VOTERS_PATH)) : null;
        return named == null ? initialVoters : named;
    }

    /** The newest version; 0 if there is none. */
    public long rev() {
        return snapshotRev + versions.size();
    }

    /** The newest values, JSON by path; not changed by what comes later. */
    public SortedMap<String, String> values() {
        return values;
    }

    /** Whether all versions after this one are kept one by one. */
    public boolean covers(long afterRev) {
        return afterRev >= snapshotRev;
    }

    /** The versions after one, in order, {@code most} at most; none where they are not kept. */
    public List<Version> versionsAfter(long afterRev, int maxCount) {
        List<Version> result = new ArrayList<>();
        if (covers(afterRev)) {
            for (Version version : versions) {
                if (version.rev() > afterRev && result.size() < maxCount) {
                    result.add(version);
                }
            }
        }
        return result;
    }

    /** The version of this number, or null where it is not kept. */
    public Version version(long rev) {
        List<Version> result = rev <= snapshotRev ? List.of() : versionsAfter(rev - 1, 1);
        return result.isEmpty() ? null : result.get(0);
    }

    /** Which version a change became; null where it is not known to be chosen. */
    public Version versionOfChange(String id) {
        return versionsByChangeId.get(id);
    }

    /** Takes the next version in; false where this is not the next. */
    boolean append(Version version) {
        if (version.rev() != rev() + 1) {
            return false;
        }
        versions.add(version);
        versionsByChangeId.put(version.change().id(), version);
        version.change().set().keySet().forEach(path -> lastChangeRevByPath.put(path, version.rev()));
        version.change().drop().forEach(path -> lastChangeRevByPath.put(path, version.rev()));
        values = version.change().applyTo(values);
        if (versions.size() > ProtocolParameters.MAX_HISTORY_VERSION_COUNT) {
            Version evicted = versions.poll();
            snapshotRev = evicted.rev();
            snapshotValues = evicted.change().applyTo(snapshotValues);
            versionsByChangeId.remove(evicted.change().id(), evicted);
            // A base before it is refused whatever it changes.
            lastChangeRevByPath.values().removeIf(rev -> rev <= snapshotRev);
        }
        return true;
    }

    /** Takes a whole in; false where it is not newer. */
    boolean installSnapshot(long rev, SortedMap<String, String> snapshot) {
        if (rev <= rev()) {
            return false;
        }
        snapshotRev = rev;
        snapshotValues = new TreeMap<>(snapshot);
        values = new TreeMap<>(snapshot);
        versions.clear();
        versionsByChangeId.clear();
        lastChangeRevByPath.clear();
        return true;
    }

    /** What a folder has to hold for it, in order. */
    public List<LogRecord> toRecords() {
        List<LogRecord> records = new ArrayList<>();
        if (snapshotRev > 0) {
            records.add(new LogRecord.Snapshot(snapshotRev, snapshotValues));
        }
        versions.forEach(version -> records.add(new LogRecord.Chosen(version)));
        return records;
    }

    /**
     * What stands against a change, or null: its id is known, it is faulty, its base is unknown or too old,
     * or a path of it was changed since. Changes nothing.
     */
    public Outcome validate(Change change, Rules rules) {
        Version existing = versionOfChange(change.id());
        if (existing != null) {
            return existing.change().equals(change)
                    ? new Outcome.Committed(existing.rev())
                    : new Outcome.Invalid(List.of(new ValidationError("id", "was used for another change")));
        }
        if (change.base() > rev()) {
            return new Outcome.Unavailable("version " + change.base() + " is not known here, the newest is " + rev());
        }
        List<ValidationError> errors = validateShape(change);
        if (!errors.isEmpty()) {
            return new Outcome.Invalid(errors);
        }
        if (change.base() < snapshotRev) {
            return new Outcome.Conflict("base", snapshotRev);
        }
        for (Map<String, ?> paths : List.of(change.set(), droppedPaths(change))) {
            for (String path : paths.keySet()) {
                long changedAtRev = lastChangeRevByPath.getOrDefault(path, 0L);
                if (changedAtRev > change.base()) {
                    return new Outcome.Conflict(path, changedAtRev);
                }
            }
        }
        SortedMap<String, String> candidate = change.applyTo(values);
        errors.addAll(validateSize(candidate));
        errors.addAll(rules.validate(candidate));
        return errors.isEmpty() ? null : new Outcome.Invalid(errors);
    }

    private static Map<String, String> droppedPaths(Change change) {
        Map<String, String> dropped = new TreeMap<>();
        change.drop().forEach(path -> dropped.put(path, ""));
        return dropped;
    }

    private List<ValidationError> validateShape(Change change) {
        List<ValidationError> errors = new ArrayList<>();
        if (change.set().isEmpty() && change.drop().isEmpty()) {
            errors.add(new ValidationError("set", "and drop are empty"));
        }
        for (String path : change.drop()) {
            if (change.set().containsKey(path)) {
                errors.add(new ValidationError(path, "is set and dropped"));
            } else if (!values.containsKey(path)) {
                errors.add(new ValidationError(path, "is dropped, but is not there"));
            } else if (path.equals(VOTERS_PATH)) {
                errors.add(new ValidationError(path, "cannot be dropped"));
            }
        }
        int bytes = RolloutText.write(change).length;
        if (bytes > ProtocolParameters.MAX_CHANGE_BYTES) {
            errors.add(new ValidationError(
                    "change", "has " + bytes + " bytes; " + ProtocolParameters.MAX_CHANGE_BYTES + " are allowed"));
        }
        return errors;
    }

    private static List<ValidationError> validateSize(SortedMap<String, String> candidate) {
        List<ValidationError> errors = new ArrayList<>();
        if (candidate.size() > ProtocolParameters.MAX_PATH_COUNT) {
            errors.add(new ValidationError(
                    "set",
                    "makes " + candidate.size() + " paths; " + ProtocolParameters.MAX_PATH_COUNT + " are allowed"));
        }
        long bytes = 0;
        for (Map.Entry<String, String> value : candidate.entrySet()) {
            bytes += RolloutText.utf8Length(value.getKey()) + RolloutText.utf8Length(value.getValue());
        }
        if (bytes > ProtocolParameters.MAX_CONFIGURATION_BYTES) {
            errors.add(new ValidationError(
                    "set",
                    "makes " + bytes + " bytes; " + ProtocolParameters.MAX_CONFIGURATION_BYTES + " are allowed"));
        }
        if (candidate.containsKey(VOTERS_PATH) && RolloutText.readVoters(candidate.get(VOTERS_PATH)) == null) {
            errors.add(
                    new ValidationError(VOTERS_PATH, "is no list of 1, 3 or 5 voters as \"0:9f2c\", each keeper once"));
        }
        return errors;
    }
}
