package kitemux.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import kitemux.fleet.Fleet;

/**
 * What is to be played, and where.
 *
 * @param goal share of the worth asked for that is to be answered in time, in (0, 1)
 * @param seeds each variant is played with the seeds from 1 to this
 * @param environments on which of the two, at least one
 * @param variants what is played, in order; names are different
 */
public record Experiment(double goal, int seeds, List<Environment> environments, List<Variant> variants) {

    /** Where a run is played. */
    public enum Environment {
        EMULATOR,
        LOOPBACK
    }

    /**
     * One fleet of an experiment.
     *
     * @param name as results name it
     * @param sweep of what series it is a point, or empty
     * @param position where on that series it lies
     * @param higherIsBetter whether more of the series makes the goal easier, as servers do and load does not
     */
    public record Variant(String name, String sweep, double position, boolean higherIsBetter, Fleet fleet) {}

    /** One run. */
    public record Run(Variant variant, Environment where, long seed) {}

    /** All runs, in the order in which they are best played: what is predicted first. */
    public List<Run> runs() {
        List<Run> all = new ArrayList<>();
        for (Environment place : environments.stream().sorted().toList()) {
            for (Variant variant : variants) {
                LongStream.rangeClosed(1, seeds).forEach(seed -> all.add(new Run(variant, place, seed)));
            }
        }
        return all;
    }
}
