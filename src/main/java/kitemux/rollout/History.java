package kitemux.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The chosen versions that a keeper knows: the newest values, and the last {@link
 * ProtocolParameters#MAX_HISTORY_VERSION_COUNT} versions individually. Versions are only ever added, never
 * taken back.
 */
public final class History {
    /** Path of the voters, whose value is a list of strings in the form of {@link Voter}. */
    public static final String VOTERS_PATH = "keepers/voters";

    /**
     * Values as of version {@code snapshotRev}, the one before the oldest version that is kept
     * individually.
     */
    private SortedMap<String, String> snapshotValues = new TreeMap<>();

    private SortedMap<String, String> values = new TreeMap<>();
    private long snapshotRev;
    private final ArrayDeque<Version> versions = new ArrayDeque<>();
    private final Map<String, Version> versionsByChangeId = new HashMap<>();
    private final Map<String, Long> lastChangeRevByPath = new HashMap<>();

    private final List<Voter> initialVoters;

    /**
     * Creates a history in which nothing was chosen: version 0, without values.
     *
     * @param initialVoters the voters until a version names others; the same at all keepers
     */
    public History(List<Voter> initialVoters) {
        this.initialVoters = List.copyOf(initialVoters);
    }

    /** Returns the voters that decide the next version. */
    public List<Voter> voters() {
        List<Voter> named = values.containsKey(VOTERS_PATH) ? RolloutText.readVoters(values.get(VOTERS_PATH)) : null;
        return named == null ? initialVoters : named;
    }

    /** Returns the number of the newest version; 0 if there is none. */
    public long rev() {
        return snapshotRev + versions.size();
    }

    /** Returns the newest values, as JSON by path. Later versions do not modify the returned map. */
    public SortedMap<String, String> values() {
        return values;
    }

    /** Returns whether all versions after this one are kept individually. */
    public boolean covers(long afterRev) {
        return afterRev >= snapshotRev;
    }

    /** Returns at most {@code maxCount} versions after the given one, in order; none if they are not kept. */
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

    /** Returns the version with this number, or null if it is not kept. */
    public Version version(long rev) {
        List<Version> result = rev <= snapshotRev ? List.of() : versionsAfter(rev - 1, 1);
        return result.isEmpty() ? null : result.get(0);
    }

    /** Returns the version that a change became, or null if the change is not known to be chosen. */
    public Version versionOfChange(String id) {
        return versionsByChangeId.get(id);
    }

    /** Appends a version; returns false, without effect, if it is not the next one. */
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
            // A change based on an older version is rejected whatever paths it changes.
            lastChangeRevByPath.values().removeIf(rev -> rev <= snapshotRev);
        }
        return true;
    }

    /** Replaces the history by a snapshot; returns false, without effect, if the snapshot is not newer. */
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

    /** Returns the log records that restore this history, in order. */
    public List<LogRecord> toRecords() {
        List<LogRecord> records = new ArrayList<>();
        if (snapshotRev > 0) {
            records.add(new LogRecord.Snapshot(snapshotRev, snapshotValues));
        }
        versions.forEach(version -> records.add(new LogRecord.Chosen(version)));
        return records;
    }

    /**
     * Checks a change against this history, without modifying it. Returns null if the change may be
     * proposed. Otherwise returns its outcome: its id is known already, it is invalid, its base is unknown
     * or too old, or one of its paths was changed since its base.
     */
    public Outcome validate(Change change, Rules rules) {
        Version existing = versionOfChange(change.id());
        if (existing != null) {
            return existing.change().equals(change)
                    ? new Outcome.Committed(existing.rev())
                    : new Outcome.Invalid(
                            List.of(new ValidationError("id", "has already been used for another change")));
        }
        if (change.base() > rev()) {
            return new Outcome.Unavailable(
                    "version " + change.base() + " is not known to this keeper; its newest version is " + rev());
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
            errors.add(new ValidationError("set", "and drop are both empty"));
        }
        for (String path : change.drop()) {
            if (change.set().containsKey(path)) {
                errors.add(new ValidationError(path, "is both set and dropped"));
            } else if (!values.containsKey(path)) {
                errors.add(new ValidationError(path, "is dropped but does not exist"));
            } else if (path.equals(VOTERS_PATH)) {
                errors.add(new ValidationError(path, "cannot be dropped"));
            }
        }
        int bytes = RolloutText.write(change).length;
        if (bytes > ProtocolParameters.MAX_CHANGE_BYTES) {
            errors.add(new ValidationError(
                    "change",
                    "has " + bytes + " bytes; at most " + ProtocolParameters.MAX_CHANGE_BYTES + " are allowed"));
        }
        return errors;
    }

    private static List<ValidationError> validateSize(SortedMap<String, String> candidate) {
        List<ValidationError> errors = new ArrayList<>();
        if (candidate.size() > ProtocolParameters.MAX_PATH_COUNT) {
            errors.add(new ValidationError(
                    "set",
                    "would result in " + candidate.size() + " paths; at most " + ProtocolParameters.MAX_PATH_COUNT
                            + " are allowed"));
        }
        long bytes = 0;
        for (Map.Entry<String, String> value : candidate.entrySet()) {
            bytes += RolloutText.utf8Length(value.getKey()) + RolloutText.utf8Length(value.getValue());
        }
        if (bytes > ProtocolParameters.MAX_CONFIGURATION_BYTES) {
            errors.add(new ValidationError(
                    "set",
                    "would result in " + bytes + " bytes; at most " + ProtocolParameters.MAX_CONFIGURATION_BYTES
                            + " are allowed"));
        }
        if (candidate.containsKey(VOTERS_PATH) && RolloutText.readVoters(candidate.get(VOTERS_PATH)) == null) {
            errors.add(new ValidationError(
                    VOTERS_PATH,
                    "is not a list of 1, 3 or 5 voters of the form \"0:9f2c\" with each keeper at most once"));
        }
        return errors;
    }
}
