package kitemux.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import kitemux.fleet.Fleet;

/**
 * The variants of a fleet to run, and the environments to run them in.
 *
 * @param goal the required share of worth answered in time, between 0 and 1 exclusive
 * @param seeds the number of runs of each variant, with seeds from 1 to this
 * @param environments the environments, at least one
 * @param variants the variants in order, with distinct names
 */
public record Experiment(double goal, int seeds, List<Environment> environments, List<Variant> variants) {

    /** The environment in which a run takes place. */
    public enum Environment {
        /** Emulated in virtual time. */
        EMULATOR,
        /** In real time, with node processes over loopback sockets. */
        LOOPBACK
    }

    /**
     * One fleet of an experiment.
     *
     * @param name the name in results
     * @param sweep the series of variants that this one is a point of, or empty
     * @param position the value at which the variant lies in its series
     * @param higherIsBetter whether a higher position makes the goal easier to reach, as with servers but not with
     *     load
     */
    public record Variant(String name, String sweep, double position, boolean higherIsBetter, Fleet fleet) {}

    /** One run of a variant. */
    public record Run(Variant variant, Environment environment, long seed) {}

    /** Returns all runs in the preferred order: those of the emulator, which predict, come first. */
    public List<Run> runs() {
        List<Run> all = new ArrayList<>();
        for (Environment environment : environments.stream().sorted().toList()) {
            for (Variant variant : variants) {
                LongStream.rangeClosed(1, seeds).forEach(seed -> all.add(new Run(variant, environment, seed)));
            }
        }
        return all;
    }
}
