package kitemux.members;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which servers there are, by what a source has said so far. What a list says of a server holds at once,
 * that it
 * drains above all. What it leaves out is another matter: a source that was restarted, cut off or asked for
 * the wrong
 * thing leaves out most, and a fleet that believed it would refuse everything. So more than a share of the
 * servers
 * that is missing within a time is doubted, and counts once it has been missing for that time.
 */
final class Belief {
    private final double mostLost;
    private final long sureUs;
    private final Map<String, Member> members = new LinkedHashMap<>();
    /** Missing from what was told last, and since when; they are members still. */
    private final Map<String, Long> doubted = new LinkedHashMap<>();
    /** When servers were let go lately, by one list or by several. */
    private final Deque<Long> lostAtUs = new ArrayDeque<>();

    Belief(double mostLost, long sureUs) {
        this.mostLost = mostLost;
        this.sureUs = sureUs;
    }

    /** All that there are, in the order in which they came. */
    List<Member> members() {
        return List.copyOf(members.values());
    }

    /** Whoever says so knows: nothing is doubted, as where an owner describes the servers by hand. */
    void set(List<Member> all) {
        members.clear();
        doubted.clear();
        all.forEach(member -> members.put(member.name(), member));
    }

    /**
     * A source has told all servers.
     *
     * @param say gets a line where something is doubted
     */
    void told(long nowUs, List<Member> all, List<String> say) {
        Set<String> named = new HashSet<>();
        for (Member member : all) {
            named.add(member.name());
            members.put(member.name(), member);
        }
        doubted.keySet().removeIf(named::contains);
        List<String> missing = new ArrayList<>();
        members.values().stream()
                .filter(member -> !named.contains(member.name()) && !doubted.containsKey(member.name()))
                .forEach(member -> missing.add(member.name()));
        if (missing.isEmpty()) {
            return;
        }
        lostAtUs.removeIf(at -> at <= nowUs - sureUs);
        // Those that drain were to go: that they have is no surprise.
        long surprising =
                missing.stream().filter(name -> !members.get(name).draining()).count();
        long ready =
                members.values().stream().filter(member -> !member.draining()).count();
        if (surprising + lostAtUs.size() + doubted.size() > mostLost * (ready + lostAtUs.size())) {
            for (String name : missing) {
                if (members.get(name).draining()) {
                    members.remove(name);
                } else {
                    doubted.put(name, nowUs);
                }
            }
            say.add("the list of servers lacks " + surprising + " of " + ready
                    + " that it named, which is doubted: they "
                    + "stay for " + sureUs / 1_000_000 + " s unless it names them again");
            return;
        }
        missing.forEach(members::remove);
        for (long i = 0; i < surprising; i++) {
            lostAtUs.add(nowUs);
        }
    }

    /** Lets go what has been missing for long enough; whether there was any. */
    boolean settle(long nowUs, List<String> say) {
        List<String> gone = new ArrayList<>();
        doubted.forEach((name, sinceUs) -> {
            if (nowUs - sinceUs >= sureUs) {
                gone.add(name);
            }
        });
        gone.forEach(name -> {
            doubted.remove(name);
            members.remove(name);
        });
        if (!gone.isEmpty()) {
            say.add(gone.size() + " servers that the list has lacked for " + sureUs / 1_000_000
                    + " s are gone: "
                    + shown(gone));
        }
        return !gone.isEmpty();
    }

    /** When {@link #settle} has something to do next; the clock's end if it has not. */
    long nextUs() {
        return doubted.values().stream()
                .mapToLong(sinceUs -> sinceUs + sureUs)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Names for a line, a few of many. */
    static String shown(List<String> names) {
        return names.size() <= 5
                ? String.join(", ", names)
                : String.join(", ", names.subList(0, 5)) + " and " + (names.size() - 5) + " more";
    }
}
