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
    private SortedMap<String, String> oldest = new TreeMap<>();

    private SortedMap<String, String> values = new TreeMap<>();
    private long before;
    private final ArrayDeque<Version> versions = new ArrayDeque<>();
    private final Map<String, Version> byId = new HashMap<>();
    private final Map<String, Long> changedAt = new HashMap<>();

    private final List<Voter> founding;

    /**
     * Nothing was chosen: version 0, without values.
     *
     * @param founding the voters as long as no version names others; the same at all keepers
     */
    public History(List<Voter> founding) {
        this.founding = List.copyOf(founding);
    }

    /** Who decides the next version. */
    public List<Voter> voters() {
        List<Voter> named = values.containsKey(VOTERS_PATH) ? RolloutText.readVoters(values.get(VOTERS_PATH)) : null;
        return named == null ? founding : named;
    }

    /** The newest version; 0 if there is none. */
    public long rev() {
        return before + versions.size();
    }

    /** The newest values, JSON by path; not changed by what comes later. */
    public SortedMap<String, String> values() {
        return values;
    }

    /** Whether all versions after this one are kept one by one. */
    public boolean covers(long after) {
        return after >= before;
    }

    /** The versions after one, in order, {@code most} at most; none where they are not kept. */
    public List<Version> versionsAfter(long after, int most) {
        List<Version> found = new ArrayList<>();
        if (covers(after)) {
            for (Version version : versions) {
                if (version.rev() > after && found.size() < most) {
                    found.add(version);
                }
            }
        }
        return found;
    }

    /** The version of this number, or null where it is not kept. */
    public Version version(long rev) {
        List<Version> found = rev <= before ? List.of() : versionsAfter(rev - 1, 1);
        return found.isEmpty() ? null : found.get(0);
    }

    /** Which version a change became; null where it is not known to be chosen. */
    public Version versionOfChange(String id) {
        return byId.get(id);
    }

    /** Takes the next version in; false where this is not the next. */
    boolean append(Version version) {
        if (version.rev() != rev() + 1) {
            return false;
        }
        versions.add(version);
        byId.put(version.change().id(), version);
        version.change().set().keySet().forEach(path -> changedAt.put(path, version.rev()));
        version.change().drop().forEach(path -> changedAt.put(path, version.rev()));
        values = version.change().applyTo(values);
        if (versions.size() > ProtocolParameters.MAX_HISTORY_VERSION_COUNT) {
            Version gone = versions.poll();
            before = gone.rev();
            oldest = gone.change().applyTo(oldest);
            byId.remove(gone.change().id(), gone);
            // A base before it is refused whatever it changes.
            changedAt.values().removeIf(rev -> rev <= before);
        }
        return true;
    }

    /** Takes a whole in; false where it is not newer. */
    boolean installSnapshot(long rev, SortedMap<String, String> whole) {
        if (rev <= rev()) {
            return false;
        }
        before = rev;
        oldest = new TreeMap<>(whole);
        values = new TreeMap<>(whole);
        versions.clear();
        byId.clear();
        changedAt.clear();
        return true;
    }

    /** What a folder has to hold for it, in order. */
    public List<LogRecord> toRecords() {
        List<LogRecord> all = new ArrayList<>();
        if (before > 0) {
            all.add(new LogRecord.Snapshot(before, oldest));
        }
        versions.forEach(version -> all.add(new LogRecord.Chosen(version)));
        return all;
    }

    /**
     * What stands against a change, or null: its id is known, it is faulty, its base is unknown or too old,
     * or a path of it was changed since. Changes nothing.
     */
    public Outcome validate(Change change, Rules rules) {
        Version known = versionOfChange(change.id());
        if (known != null) {
            return known.change().equals(change)
                    ? new Outcome.Committed(known.rev())
                    : new Outcome.Invalid(List.of(new ValidationError("id", "was used for another change")));
        }
        if (change.base() > rev()) {
            return new Outcome.Unavailable("version " + change.base() + " is not known here, the newest is " + rev());
        }
        List<ValidationError> faults = shape(change);
        if (!faults.isEmpty()) {
            return new Outcome.Invalid(faults);
        }
        if (change.base() < before) {
            return new Outcome.Conflict("base", before);
        }
        for (Map<String, ?> part : List.of(change.set(), asMap(change))) {
            for (String path : part.keySet()) {
                long at = changedAt.getOrDefault(path, 0L);
                if (at > change.base()) {
                    return new Outcome.Conflict(path, at);
                }
            }
        }
        SortedMap<String, String> next = change.applyTo(values);
        faults.addAll(bounds(next));
        faults.addAll(rules.validate(next));
        return faults.isEmpty() ? null : new Outcome.Invalid(faults);
    }

    private static Map<String, String> asMap(Change change) {
        Map<String, String> dropped = new TreeMap<>();
        change.drop().forEach(path -> dropped.put(path, ""));
        return dropped;
    }

    private List<ValidationError> shape(Change change) {
        List<ValidationError> faults = new ArrayList<>();
        if (change.set().isEmpty() && change.drop().isEmpty()) {
            faults.add(new ValidationError("set", "and drop are empty"));
        }
        for (String path : change.drop()) {
            if (change.set().containsKey(path)) {
                faults.add(new ValidationError(path, "is set and dropped"));
            } else if (!values.containsKey(path)) {
                faults.add(new ValidationError(path, "is dropped, but is not there"));
            } else if (path.equals(VOTERS_PATH)) {
                faults.add(new ValidationError(path, "cannot be dropped"));
            }
        }
        int bytes = RolloutText.write(change).length;
        if (bytes > ProtocolParameters.MAX_CHANGE_BYTES) {
            faults.add(new ValidationError(
                    "change", "has " + bytes + " bytes; " + ProtocolParameters.MAX_CHANGE_BYTES + " are allowed"));
        }
        return faults;
    }

    private static List<ValidationError> bounds(SortedMap<String, String> next) {
        List<ValidationError> faults = new ArrayList<>();
        if (next.size() > ProtocolParameters.MAX_PATH_COUNT) {
            faults.add(new ValidationError(
                    "set", "makes " + next.size() + " paths; " + ProtocolParameters.MAX_PATH_COUNT + " are allowed"));
        }
        long bytes = 0;
        for (Map.Entry<String, String> value : next.entrySet()) {
            bytes += RolloutText.utf8Length(value.getKey()) + RolloutText.utf8Length(value.getValue());
        }
        if (bytes > ProtocolParameters.MAX_CONFIGURATION_BYTES) {
            faults.add(new ValidationError(
                    "set",
                    "makes " + bytes + " bytes; " + ProtocolParameters.MAX_CONFIGURATION_BYTES + " are allowed"));
        }
        if (next.containsKey(VOTERS_PATH) && RolloutText.readVoters(next.get(VOTERS_PATH)) == null) {
            faults.add(
                    new ValidationError(VOTERS_PATH, "is no list of 1, 3 or 5 voters as \"0:9f2c\", each keeper once"));
        }
        return faults;
    }
}
