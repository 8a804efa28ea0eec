package kitemux.drill;

import java.util.List;
import kitemux.fleet.Fleet;

/**
 * A drill as it is described: a fleet, what goes wrong in it, and what is told of it. Times are microseconds.
 *
 * @param seed all that is drawn comes of it
 * @param faults in order of their time
 * @param phases stretches of which shares in time are told apart
 * @param repeatUs a wish that its client had to repeat is in time within so much beyond its aim
 * @param bounds what must not be exceeded; of the sums over all nodes
 * @param longAnswers which answers are long
 */
public record Scenario(
        Fleet fleet,
        long seed,
        List<Fault> faults,
        List<Phase> phases,
        long repeatUs,
        Bounds bounds,
        LongAnswers longAnswers) {

    /**
     * Answers that servers give bit by bit.
     *
     * @param share of what is served, in [0, 1]
     * @param lastsUs from its first byte to its last
     * @param stops share of these that stop amid it for good, in [0, 1]
     */
    record LongAnswers(double share, long lastsUs, double stops) {}

    /** A stretch of the run, from a time on until another. */
    record Phase(String name, long fromUs, long toUs) {}

    /**
     * Sums over all nodes, within any 100 ms; 0 where nothing is said.
     *
     * @param attempts requests that come to one server
     * @param dials connections that come up at one server
     * @param calls calls of discovery
     */
    record Bounds(int attempts, int dials, int calls) {}
}
