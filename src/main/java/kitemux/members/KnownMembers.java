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
 * The servers that are known from what a source has reported so far.
 *
 * <p>What a list states about a server, draining above all, takes effect at once. Servers that a list omits are
 * treated with more care: a source that was restarted, cut off or queried wrongly omits most servers, and a fleet
 * that believed it would refuse every request. If more than a given share of the servers disappears within a period,
 * the loss therefore takes effect only after the servers have been missing for that whole period.
 */
final class KnownMembers {
    private final double maxLostRatio;
    private final long lossConfirmationUs;
    private final Map<String, Member> members = new LinkedHashMap<>();
    /** Servers missing from the latest list, with the time since when. They are still members. */
    private final Map<String, Long> missingSinceUs = new LinkedHashMap<>();
    /** Times at which servers were removed recently, one entry for each server. */
    private final Deque<Long> recentLossTimesUs = new ArrayDeque<>();

    KnownMembers(double maxLostRatio, long lossConfirmationUs) {
        this.maxLostRatio = maxLostRatio;
        this.lossConfirmationUs = lossConfirmationUs;
    }

    /** All known servers, in the order in which they were added. */
    List<Member> members() {
        return List.copyOf(members.values());
    }

    /** Replaces all servers without a confirmation period, as when the owner describes the servers by hand. */
    void replaceAll(List<Member> all) {
        members.clear();
        missingSinceUs.clear();
        all.forEach(member -> members.put(member.name(), member));
    }

    /**
     * Handles a complete list of servers from a source.
     *
     * @param messages receives a line for operators if the loss of servers awaits confirmation
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
        // Draining servers were expected to leave, so they do not count as lost.
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
                    + " that it named, which is doubted: they " + "stay for " + lossConfirmationUs / 1_000_000
                    + " s unless it names them again");
            return;
        }
        missing.forEach(members::remove);
        for (long i = 0; i < unexpectedCount; i++) {
            recentLossTimesUs.add(nowUs);
        }
    }

    /** Removes servers that have been missing for the confirmation period; returns whether there were any. */
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

    /** Time at which {@link #confirmLosses} has to run next; {@link Long#MAX_VALUE} if no loss awaits confirmation. */
    long nextConfirmationUs() {
        return missingSinceUs.values().stream()
                .mapToLong(sinceUs -> sinceUs + lossConfirmationUs)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Joins names for a log line, abbreviated after the first five. */
    static String abbreviate(List<String> names) {
        return names.size() <= 5
                ? String.join(", ", names)
                : String.join(", ", names.subList(0, 5)) + " and " + (names.size() - 5) + " more";
    }
}
