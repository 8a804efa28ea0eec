package kitemux.fleet;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random numbers of one cause. Each cause has a stream of its own, so that two variants of a fleet meet the
 * same clients with the same work, whatever else is drawn meanwhile.
 */
final class RandomStream {
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential exponential;
    private final ZigguratSampler.NormalizedGaussian gaussian;

    /** What is drawn for. */
    enum Purpose {
        ARRIVALS,
        WORK,
        CLIENTS,
        NETWORK,
        BOXES,
        FRONT,
        LISTS,
        FAULTS,
        MODULES,
        SKEW
    }

    RandomStream(long seed, Purpose cause) {
        this(seed, cause, 0);
    }

    /** The stream of the so many-th one of a cause. */
    RandomStream(long seed, Purpose cause, int number) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {
            mix(seed + 0x9E3779B97F4A7C15L), mix(seed ^ mix(cause.ordinal() + 31L * number + 1))
        });
        exponential = ZigguratSampler.Exponential.of(random);
        gaussian = ZigguratSampler.NormalizedGaussian.of(random);
    }

    private static long mix(long of) {
        long z = (of ^ of >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }

    /** In [0, 1). */
    double nextDouble() {
        return random.nextDouble();
    }

    /** In [0, below). */
    int nextInt(int below) {
        return random.nextInt(below);
    }

    long nextLong() {
        return random.nextLong();
    }

    /** Evenly between the two. */
    long nextBetween(Fleet.Range range) {
        return range.from() + (long) (random.nextDouble() * (range.to() - range.from()));
    }

    /** Exponentially distributed. */
    double exponential(double mean) {
        return mean * exponential.sample();
    }

    /** Lognormally distributed with this mean, and this standard deviation over it. */
    double lognormal(double mean, double cv) {
        double variance = Math.log1p(cv * cv);
        return mean * Math.exp(Math.sqrt(variance) * gaussian.sample() - variance / 2);
    }

    /** The place of one of these, drawn by weights that are summed up to each. */
    int nextWeightedIndex(double[] upTo) {
        double at = random.nextDouble() * upTo[upTo.length - 1];
        int place = 0;
        while (place < upTo.length - 1 && at >= upTo[place]) {
            place++;
        }
        return place;
    }
}
