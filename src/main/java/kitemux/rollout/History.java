package kitemux.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * All that was chosen and is known: the newest values, and the last {@link Terms#HISTORY} versions one by
 * one. Nothing in it is ever taken back.
 */
public final class History {
    /** Path of the voters: a list of texts as of {@link Voter}. */
    public static final String VOTERS = "keepers/voters";

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
        List<Voter> named = values.containsKey(VOTERS) ? RolloutText.voters(values.get(VOTERS)) : null;
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
    public boolean reaches(long after) {
        return after >= before;
    }

    /** The versions after one, in order, {@code most} at most; none where they are not kept. */
    public List<Version> after(long after, int most) {
        List<Version> found = new ArrayList<>();
        if (reaches(after)) {
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
        List<Version> found = rev <= before ? List.of() : after(rev - 1, 1);
        return found.isEmpty() ? null : found.get(0);
    }

    /** Which version a change became; null where it is not known to be chosen. */
    public Version chosen(String id) {
        return byId.get(id);
    }

    /** Takes the next version in; false where this is not the next. */
    boolean learn(Version version) {
        if (version.rev() != rev() + 1) {
            return false;
        }
        versions.add(version);
        byId.put(version.change().id(), version);
        version.change().set().keySet().forEach(path -> changedAt.put(path, version.rev()));
        version.change().drop().forEach(path -> changedAt.put(path, version.rev()));
        values = version.change().appliedTo(values);
        if (versions.size() > Terms.HISTORY) {
            Version gone = versions.poll();
            before = gone.rev();
            oldest = gone.change().appliedTo(oldest);
            byId.remove(gone.change().id(), gone);
            // A base before it is refused whatever it changes.
            changedAt.values().removeIf(rev -> rev <= before);
        }
        return true;
    }

    /** Takes a whole in; false where it is not newer. */
    boolean learnWhole(long rev, SortedMap<String, String> whole) {
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
    public List<Kept> kept() {
        List<Kept> all = new ArrayList<>();
        if (before > 0) {
            all.add(new Kept.Whole(before, oldest));
        }
        versions.forEach(version -> all.add(new Kept.Chosen(version)));
        return all;
    }

    /**
     * What stands against a change, or null: its id is known, it is faulty, its base is unknown or too old,
     * or a path of it was changed since. Changes nothing.
     */
    public Outcome against(Change change, Rules rules) {
        Version known = chosen(change.id());
        if (known != null) {
            return known.change().equals(change)
                    ? new Outcome.Taken(known.rev())
                    : new Outcome.Faulty(List.of(new Fault("id", "was used for another change")));
        }
        if (change.base() > rev()) {
            return new Outcome.Unavailable("version " + change.base() + " is not known here, the newest is " + rev());
        }
        List<Fault> faults = shape(change);
        if (!faults.isEmpty()) {
            return new Outcome.Faulty(faults);
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
        SortedMap<String, String> next = change.appliedTo(values);
        faults.addAll(bounds(next));
        faults.addAll(rules.faults(next));
        return faults.isEmpty() ? null : new Outcome.Faulty(faults);
    }

    private static Map<String, String> asMap(Change change) {
        Map<String, String> dropped = new TreeMap<>();
        change.drop().forEach(path -> dropped.put(path, ""));
        return dropped;
    }

    private List<Fault> shape(Change change) {
        List<Fault> faults = new ArrayList<>();
        if (change.set().isEmpty() && change.drop().isEmpty()) {
            faults.add(new Fault("set", "and drop are empty"));
        }
        for (String path : change.drop()) {
            if (change.set().containsKey(path)) {
                faults.add(new Fault(path, "is set and dropped"));
            } else if (!values.containsKey(path)) {
                faults.add(new Fault(path, "is dropped, but is not there"));
            } else if (path.equals(VOTERS)) {
                faults.add(new Fault(path, "cannot be dropped"));
            }
        }
        int bytes = RolloutText.write(change).length;
        if (bytes > Terms.MOST_CHANGE_BYTES) {
            faults.add(new Fault("change", "has " + bytes + " bytes; " + Terms.MOST_CHANGE_BYTES + " are allowed"));
        }
        return faults;
    }

    private static List<Fault> bounds(SortedMap<String, String> next) {
        List<Fault> faults = new ArrayList<>();
        if (next.size() > Terms.MOST_PATHS) {
            faults.add(new Fault("set", "makes " + next.size() + " paths; " + Terms.MOST_PATHS + " are allowed"));
        }
        long bytes = 0;
        for (Map.Entry<String, String> value : next.entrySet()) {
            bytes += RolloutText.bytes(value.getKey()) + RolloutText.bytes(value.getValue());
        }
        if (bytes > Terms.MOST_BYTES) {
            faults.add(new Fault("set", "makes " + bytes + " bytes; " + Terms.MOST_BYTES + " are allowed"));
        }
        if (next.containsKey(VOTERS) && RolloutText.voters(next.get(VOTERS)) == null) {
            faults.add(new Fault(VOTERS, "is no list of 1, 3 or 5 voters as \"0:9f2c\", each keeper once"));
        }
        return faults;
    }
}
