package kitemux.drill;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What judges made of a time-line.
 *
 * @param broken the first rules and bounds that were broken, a line each with time, rule and who
 * @param breaks how many there were in all
 * @param lateUs the longest that the player was behind its own clock
 * @param judged whether that was little enough for a verdict
 * @param shares by phase; the first is the whole run
 * @param sums over all nodes
 */
public record Verdict(List<String> broken, long breaks, long lateUs, boolean judged, List<Share> shares, Sums sums) {

    /**
     * What a stretch of the run came to.
     *
     * @param wishes first tries that came in it
     * @param inTime worth that was served in time, over what was asked for
     * @param byClass the same of each class, by name and in order
     * @param triesAWish how often clients asked for one thing
     * @param attemptsAWish how often servers were sent it
     * @param refused answers 429 and 503
     * @param failed other answers than 200, and requests with none
     */
    public record Share(
            String phase,
            long wishes,
            double inTime,
            List<OfClass> byClass,
            double triesAWish,
            double attemptsAWish,
            long refused,
            long failed) {}

    /** A class's share in time. */
    public record OfClass(String name, long wishes, double inTime) {}

    /**
     * The most within any 100 ms, and what else is counted over all nodes.
     *
     * @param attempts requests that came to one server
     * @param dials connections that came up at one server
     * @param calls of discovery
     * @param crossings kept connections that ended under a request that its node had not read
     * @param overdue final answers that came after their time and what a limit is longer by: not lost, and
     *     worth nothing
     * @param coldest the most that came to a cold server within 2 s, as a part of what it stands
     */
    public record Sums(int attempts, int dials, int calls, long crossings, long overdue, double coldest) {}

    /** Whether no rule was broken, as far as that may be told. */
    public boolean isKept() {
        return judged && breaks == 0;
    }

    /** As lines for people. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        for (Share share : shares) {
            StringBuilder classes = new StringBuilder();
            share.byClass.forEach(of -> classes.append(String.format(Locale.ROOT, ", %s %.3f", of.name, of.inTime)));
            lines.add(String.format(
                    Locale.ROOT,
                    "%s: %d asked for, %.3f in time%s; %.2f tries and %.2f attempts" + " each; %d refused, %d failed",
                    share.phase,
                    share.wishes,
                    share.inTime,
                    classes,
                    share.triesAWish,
                    share.attemptsAWish,
                    share.refused,
                    share.failed));
        }
        lines.add(String.format(
                Locale.ROOT,
                "most within 100 ms: %d attempts at one server, %d dials at one, %d"
                        + " calls of discovery; %d kept connections ended as a request crossed, %d answers came late",
                sums.attempts,
                sums.dials,
                sums.calls,
                sums.crossings,
                sums.overdue));
        lines.add(String.format(Locale.ROOT, "most to a cold server: %.2f of what it stands", sums.coldest));
        broken.forEach(line -> lines.add("  " + line));
        lines.add(
                !judged
                        ? String.format(Locale.ROOT, "NOT JUDGED: the player was late by %.0f ms", lateUs / 1e3)
                        : breaks == 0 ? "KEPT: no rule was broken" : "BROKEN: " + breaks + " times");
        return lines;
    }
}
