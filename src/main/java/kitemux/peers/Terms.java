package kitemux.peers;

import java.util.ArrayList;
import java.util.List;

/**
 * How the nodes of a fleet keep in touch. Times are microseconds.
 *
 * @param nodes how many the fleet has, by its description
 * @param me this one's number, from 0
 * @param periodUs between two probes of a node, each of another one
 * @param answerUs after which a probe that has no answer is tried by way of others
 * @param helpers how many others are asked for that
 * @param suspicion so many times the period, and the more the larger the fleet, a suspect has to answer
 * @param mostBytes of a datagram
 */
public record Terms(int nodes, int me, long periodUs, long answerUs, int helpers, double suspicion, int mostBytes) {
    /** Itself, whom it speaks of, and room for news. */
    private static final int LEAST_BYTES = Datagram.HEAD + 4 * Datagram.BELIEF;

    /** The usual ones of a fleet: a probe a second, 400 ms for its answer. */
    public static Terms usual(int nodes, int me) {
        return new Terms(nodes, me, 1_000_000, 400_000, 3, 4, Datagram.PLATFORM_BYTES);
    }

    /** All that cannot be, one line each with field and reason; empty where there is nothing. */
    public List<String> faults() {
        List<String> found = new ArrayList<>();
        require(found, nodes >= 1 && nodes <= Datagram.MOST_NODES, "nodes: is not from 1 to " + Datagram.MOST_NODES);
        require(found, me >= 0 && me < nodes, "me: is not from 0 to nodes - 1");
        require(found, periodUs >= 10_000, "period: is under 10ms");
        require(found, answerUs >= 1_000 && 2 * answerUs <= periodUs, "answer: is not from 1ms to half a period");
        require(found, helpers >= 0 && helpers <= 16, "helpers: is not from 0 to 16");
        require(found, suspicion >= 1 && suspicion <= 100, "suspicion: is not from 1 to 100");
        require(
                found,
                mostBytes >= LEAST_BYTES && mostBytes <= 65_000,
                "most_bytes: is not from " + LEAST_BYTES + " to 65000");
        return found;
    }

    private static void require(List<String> found, boolean holds, String otherwise) {
        if (!holds) {
            found.add(otherwise);
        }
    }

    /** How long a suspect has where many suspect it; and, below, where one does. */
    long leastSuspicionUs() {
        return (long) (suspicion * Math.max(1, Math.log10(nodes)) * periodUs);
    }

    long mostSuspicionUs() {
        return 3 * leastSuspicionUs();
    }

    /** How often a piece of news is passed on by each node that hears it. */
    int tellings() {
        return 3 * (int) Math.ceil(Math.log10(nodes + 1.0) + 1);
    }
}
