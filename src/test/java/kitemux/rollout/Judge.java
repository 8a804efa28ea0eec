package kitemux.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

/**
 * Holds the promises of told configuration against a history of what was seen. It knows nothing of the code
 * that it judges: numbers, texts and values alone. Times are microseconds and do not run backwards.
 */
final class Judge {
    /** A change is in force within this. */
    static final long IN_FORCE_US = 4_000_000;
    /** Whoever is not heard is said to be so within this, and a second for the words to travel. */
    static final long SILENT_US = 26_000_000;

    private static final long WINDOW_US = 2_000_000;
    private static final long MOST_IN_WINDOW = 16_384;
    private static final int ENOUGH_DISKS = 3;
    private static final int MOST_BREACHES = 20;

    /** What is promised. */
    enum Promise {
        ONE_HISTORY,
        MONOTONIC,
        WHOLE,
        TIMELY,
        TRUTHFUL,
        DURABLE,
        PACED,
        SOUND
    }

    /** A promise that was broken. */
    record Breach(Promise promise, long atUs, String what) {}

    /** Something that was seen. */
    sealed interface Seen {
        /** When. */
        long atUs();
    }

    /** A keeper's process knows this to be chosen: the id of the change, and what the values are by it. */
    record Known(long atUs, String process, long rev, String id, Map<String, String> values) implements Seen {}

    /** A node's process has this in force. */
    record InForce(long atUs, int node, String process, long rev, Map<String, String> values) implements Seen {}

    /** A node's process began; of two of a node the one that began later counts. */
    record Began(long atUs, int node, String process) implements Seen {}

    /** It ended. */
    record Ended(long atUs, int node, String process) implements Seen {}

    /** A keeper that holds itself for current spoke to a node's process; the newest version that it knows. */
    record Spoke(long atUs, String process, long keeperRev) implements Seen {}

    /**
     * A voter's disk holds it that this was accepted or chosen for the version. One that is lost later is one
     * of the two that may be.
     */
    record OnDisk(long atUs, int voter, long rev, String id) implements Seen {}

    /** An operator was told that a change is chosen. */
    record Answered(long atUs, String id, long rev) implements Seen {}

    /** A process of a node has sent a report, and nothing was in its way. */
    record Reported(long atUs, int node) implements Seen {}

    /** A report of a node's process has come to a keeper's. */
    record Heard(long atUs, String keeper, String process) implements Seen {}

    /**
     * An operator was told that a node has a version in force, by what these keepers' processes have heard.
     */
    record Counted(long atUs, int node, long rev, List<String> keepers) implements Seen {}

    /** A node was sent so many bytes. */
    record Sent(long atUs, String process, int bytes) implements Seen {}

    /** A node says that it refuses a version for a fault at a path. */
    record Refused(long atUs, int node, long rev, String path) implements Seen {}

    /**
     * Lines or processes have changed.
     *
     * @param majority whether the node can reach a keeper that reaches a majority
     * @param moreUs what it needs beyond the usual time: keepers that it tries in vain, a whole at the pace
     */
    record Reach(long atUs, int node, boolean majority, long moreUs) implements Seen {}

    /** Time has passed, and nothing else. */
    record Passed(long atUs) implements Seen {}

    private record Chosen(String id, Map<String, String> values, long atUs) {}

    private static final class Process {
        /** Keepers' processes to which a report of it has come. */
        final Set<String> heardBy = new HashSet<>();

        long rev = -1;
    }

    private static final class Node {
        String newest;
        long endedUs = Long.MAX_VALUE;
        Reach reach;
        long majoritySinceUs = Long.MAX_VALUE;
        long reportedUs = Long.MIN_VALUE / 2;
        long mostRev = -1;
        boolean wasLate;
    }

    private final Predicate<Map<String, String>> isSound;
    private final BiPredicate<Integer, Map<String, String>> takes;
    private final TreeMap<Long, Chosen> chosen = new TreeMap<>();
    private final Map<String, Long> keepers = new HashMap<>();
    private final Map<String, Process> processes = new HashMap<>();
    private final TreeMap<Integer, Node> nodes = new TreeMap<>();
    private final Map<Integer, Set<String>> disks = new HashMap<>();
    private final Map<Long, String> answered = new HashMap<>();
    private final Map<String, ArrayDeque<long[]>> sent = new HashMap<>();
    private final Map<String, Long> window = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();

    /**
     * Nothing was seen.
     *
     * @param first the version that all begin with, and its values; other files of nodes are told as
     *     known first
     * @param isSound whether values may be chosen at all
     * @param takes whether a node's program takes them
     */
    Judge(
            Map<Long, Map<String, String>> first,
            Predicate<Map<String, String>> isSound,
            BiPredicate<Integer, Map<String, String>> takes) {
        this.isSound = isSound;
        this.takes = takes;
        first.forEach((rev, values) -> chosen.put(rev, new Chosen("", values, 0)));
    }

    List<Breach> breaches() {
        return breaches;
    }

    /** What a node's process has in force, as far as was seen. */
    long revOf(String process) {
        return processes.get(process).rev;
    }

    private void breach(Promise promise, Seen seen, String what) {
        if (breaches.size() < MOST_BREACHES) {
            breaches.add(new Breach(promise, seen.atUs(), what + ": " + brief(seen)));
        }
    }

    private static String brief(Seen seen) {
        String text = seen.toString();
        return text.length() > 200 ? text.substring(0, 200) + "..." : text;
    }

    /** Takes the next in. */
    void see(Seen seen) {
        if (seen instanceof Known s) {
            known(s);
        } else if (seen instanceof InForce s) {
            inForce(s);
        } else if (seen instanceof Began s) {
            Node node = nodes.computeIfAbsent(s.node, n -> new Node());
            node.newest = s.process;
            node.endedUs = Long.MAX_VALUE;
            processes.put(s.process, new Process());
        } else if (seen instanceof Ended s) {
            Node node = nodes.get(s.node);
            node.endedUs = s.process.equals(node.newest) ? s.atUs : node.endedUs;
        } else if (seen instanceof Spoke s) {
            if (s.keeperRev < processes.get(s.process).rev) {
                breach(Promise.MONOTONIC, s, "a keeper serves a node that knows more");
            }
        } else if (seen instanceof OnDisk s) {
            disks.computeIfAbsent(s.voter, v -> new HashSet<>()).add(s.rev + " " + s.id);
        } else if (seen instanceof Answered s) {
            answered(s);
        } else if (seen instanceof Reported s) {
            nodes.get(s.node).reportedUs = s.atUs;
        } else if (seen instanceof Heard s) {
            processes.get(s.process).heardBy.add(s.keeper);
        } else if (seen instanceof Counted s) {
            counted(s);
        } else if (seen instanceof Sent s) {
            sent(s);
        } else if (seen instanceof Refused s) {
            Chosen of = chosen.get(s.rev);
            if (s.path.isEmpty() || of == null || !of.values.containsKey(s.path)) {
                breach(Promise.SOUND, s, "a fault without its place");
            }
        } else if (seen instanceof Reach s) {
            reach(s);
        }
        timely(seen);
    }

    private void known(Known s) {
        Chosen before = chosen.putIfAbsent(s.rev, new Chosen(s.id, s.values, s.atUs));
        if (before == null) {
            if (!isSound.test(s.values)) {
                breach(Promise.SOUND, s, "what is not sound was chosen");
            }
        } else if (!before.values.equals(s.values)
                || !s.id.isEmpty() && !before.id.isEmpty() && !before.id.equals(s.id)) {
            breach(Promise.ONE_HISTORY, s, "another was chosen as " + before.id);
        }
        if (!s.id.isEmpty() && !answered.getOrDefault(s.rev, s.id).equals(s.id)) {
            breach(Promise.DURABLE, s, "what was answered is lost");
        }
        Long last = keepers.put(s.process, s.rev);
        if (last != null && last > s.rev) {
            breach(Promise.MONOTONIC, s, "a keeper falls from " + last);
        }
    }

    private void inForce(InForce s) {
        Process process = processes.get(s.process);
        Chosen of = chosen.get(s.rev);
        if (of == null) {
            breach(Promise.ONE_HISTORY, s, "a version that nobody knows to be chosen");
        } else if (!of.values.equals(s.values)) {
            breach(Promise.WHOLE, s, "not what the version is");
        }
        if (s.rev < process.rev) {
            breach(Promise.MONOTONIC, s, "a node falls from " + process.rev);
        }
        process.rev = s.rev;
        Node node = nodes.get(s.node);
        node.mostRev = Math.max(node.mostRev, s.rev);
    }

    private void answered(Answered s) {
        answered.put(s.rev, s.id);
        Chosen of = chosen.get(s.rev);
        if (of == null || !of.id.isEmpty() && !of.id.equals(s.id)) {
            breach(Promise.DURABLE, s, "nobody knows it");
        }
        long on = disks.values().stream()
                .filter(disk -> disk.contains(s.rev + " " + s.id))
                .count();
        if (on < ENOUGH_DISKS) {
            breach(Promise.DURABLE, s, "on " + on + " disks alone");
        }
    }

    private void counted(Counted s) {
        Node node = nodes.get(s.node);
        Process newest = processes.get(node.newest);
        if (node.mostRev < s.rev) {
            breach(Promise.TRUTHFUL, s, "no process of it has that in force");
        } else if (newest.rev < s.rev && s.keepers.stream().anyMatch(newest.heardBy::contains)) {
            breach(Promise.TRUTHFUL, s, "only an earlier process of it has");
        } else if (node.reportedUs <= s.atUs - SILENT_US) {
            breach(Promise.TRUTHFUL, s, "nobody has heard it for long");
        }
    }

    private void sent(Sent s) {
        ArrayDeque<long[]> of = sent.computeIfAbsent(s.process, p -> new ArrayDeque<>());
        of.add(new long[] {s.atUs, s.bytes});
        long sum = window.merge(s.process, (long) s.bytes, Long::sum);
        while (of.peek()[0] <= s.atUs - WINDOW_US) {
            sum -= of.poll()[1];
        }
        window.put(s.process, sum);
        if (sum > MOST_IN_WINDOW) {
            breach(Promise.PACED, s, sum + " bytes in two seconds");
        }
    }

    private void reach(Reach s) {
        Node node = nodes.computeIfAbsent(s.node, n -> new Node());
        node.reach = s;
        // Whatever has changed, its time begins anew.
        node.majoritySinceUs = s.majority ? s.atUs : Long.MAX_VALUE;
        node.wasLate = false;
    }

    /** The newest version that a node has to have in force by now; -1 if none. */
    private long due(int number, Node node, long nowUs) {
        long by = nowUs - IN_FORCE_US - node.reach.moreUs;
        if (node.majoritySinceUs > by || node.endedUs != Long.MAX_VALUE) {
            return -1;
        }
        for (Map.Entry<Long, Chosen> each : chosen.descendingMap().entrySet()) {
            if (each.getValue().atUs <= by) {
                return takes.test(number, each.getValue().values) ? each.getKey() : -1;
            }
        }
        return -1;
    }

    private void timely(Seen seen) {
        if (!(seen instanceof Passed)) {
            return;
        }
        nodes.forEach((number, node) -> {
            if (node.newest != null && node.reach != null && !node.wasLate) {
                long due = due(number, node, seen.atUs());
                long rev = processes.get(node.newest).rev;
                if (rev < due) {
                    node.wasLate = true;
                    breach(Promise.TIMELY, seen, "node " + number + " has " + rev + " in force, not " + due);
                }
            }
        });
    }
}
