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
final class KnownMembers {
    private final double maxLostRatio;
    private final long lossConfirmationUs;
    private final Map<String, Member> members = new LinkedHashMap<>();
    /** Missing from what was told last, and since when; they are members still. */
    private final Map<String, Long> missingSinceUs = new LinkedHashMap<>();
    /** When servers were let go lately, by one list or by several. */
    private final Deque<Long> recentLossTimesUs = new ArrayDeque<>();

    KnownMembers(double maxLostRatio, long lossConfirmationUs) {
        this.maxLostRatio = maxLostRatio;
        this.lossConfirmationUs = lossConfirmationUs;
    }

    /** All that there are, in the order in which they came. */
    List<Member> members() {
        return List.copyOf(members.values());
    }

    /** Whoever says so knows: nothing is doubted, as where an owner describes the servers by hand. */
    void replaceAll(List<Member> all) {
        members.clear();
        missingSinceUs.clear();
        all.forEach(member -> members.put(member.name(), member));
    }

    /**
     * A source has told all servers.
     *
     * @param say gets a line where something is doubted
     */
    void update(long nowUs, List<Member> listed, List<String> messages) {
        Set<String> listedNames = new HashSet<>();
        for (Member member : listed) {
            listedNames.add(member.name());
            members.put(member.name(), member);
        }
        missingSinceUs.keySet().removeIf(listedNames::contains);
        List<String> missing = new ArrayList<>();
        members.values().stream()
                .filter(member -> !listedNames.contains(member.name()) && !missingSinceUs.containsKey(member.name()))
                .forEach(member -> missing.add(member.name()));
        if (missing.isEmpty()) {
            return;
        }
        recentLossTimesUs.removeIf(lostUs -> lostUs <= nowUs - lossConfirmationUs);
        // Those that drain were to go: that they have is no surprise.
        long unexpectedCount =
                missing.stream().filter(name -> !members.get(name).draining()).count();
        long readyCount =
                members.values().stream().filter(member -> !member.draining()).count();
        if (unexpectedCount + recentLossTimesUs.size() + missingSinceUs.size()
                > maxLostRatio * (readyCount + recentLossTimesUs.size())) {
            for (String name : missing) {
                if (members.get(name).draining()) {
                    members.remove(name);
                } else {
                    missingSinceUs.put(name, nowUs);
                }
            }
            messages.add("the list of servers lacks " + unexpectedCount + " of " + readyCount
                    + " that it named, which is doubted: they "
                    + "stay for " + lossConfirmationUs / 1_000_000 + " s unless it names them again");
            return;
        }
        missing.forEach(members::remove);
        for (long i = 0; i < unexpectedCount; i++) {
            recentLossTimesUs.add(nowUs);
        }
    }

    /** Lets go what has been missing for long enough; whether there was any. */
    boolean confirmLosses(long nowUs, List<String> messages) {
        List<String> confirmedNames = new ArrayList<>();
        missingSinceUs.forEach((name, sinceUs) -> {
            if (nowUs - sinceUs >= lossConfirmationUs) {
                confirmedNames.add(name);
            }
        });
        confirmedNames.forEach(name -> {
            missingSinceUs.remove(name);
            members.remove(name);
        });
        if (!confirmedNames.isEmpty()) {
            messages.add(
                    confirmedNames.size() + " servers that the list has lacked for " + lossConfirmationUs / 1_000_000
                            + " s are gone: "
                            + abbreviate(confirmedNames));
        }
        return !confirmedNames.isEmpty();
    }

    /** When {@link #confirmLosses} has something to do next; the clock's end if it has not. */
    long nextConfirmationUs() {
        return missingSinceUs.values().stream()
                .mapToLong(sinceUs -> sinceUs + lossConfirmationUs)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Names for a line, a few of many. */
    static String abbreviate(List<String> names) {
        return names.size() <= 5
                ? String.join(", ", names)
                : String.join(", ", names.subList(0, 5)) + " and " + (names.size() - 5) + " more";
    }
}
