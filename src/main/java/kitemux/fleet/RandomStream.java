package kitemux.fleet;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A stream of random numbers for one purpose. Each purpose has its own stream, so that two variants of a
 * fleet meet the same clients with the same work, whatever else is drawn.
 */
final class RandomStream {
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential exponential;
    private final ZigguratSampler.NormalizedGaussian gaussian;

    /** The purposes for which random numbers are drawn. */
    enum Purpose {
        ARRIVALS,
        WORK,
        CLIENTS,
        NETWORK,
        SERVERS,
        FRONT_END,
        DISCOVERY,
        FAULTS,
        MODULES,
        SKEW
    }

    RandomStream(long seed, Purpose cause) {
        this(seed, cause, 0);
    }

    /** Creates one of several numbered streams of a purpose. */
    RandomStream(long seed, Purpose cause, int number) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {
            mix(seed + 0x9E3779B97F4A7C15L), mix(seed ^ mix(cause.ordinal() + 31L * number + 1))
        });
        exponential = ZigguratSampler.Exponential.of(random);
        gaussian = ZigguratSampler.NormalizedGaussian.of(random);
    }

    private static long mix(long value) {
        long z = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }

    /** Returns a uniform value in [0, 1). */
    double nextDouble() {
        return random.nextDouble();
    }

    /** Returns a uniform value in [0, bound). */
    int nextInt(int bound) {
        return random.nextInt(bound);
    }

    /** Returns a uniform 64-bit value. */
    long nextLong() {
        return random.nextLong();
    }

    /** Returns a uniform value in the given range. */
    long nextBetween(Fleet.Range range) {
        return range.from() + (long) (random.nextDouble() * (range.to() - range.from()));
    }

    /** Returns an exponentially distributed value with the given mean. */
    double exponential(double mean) {
        return mean * exponential.sample();
    }

    /**
     * Returns a lognormally distributed value.
     *
     * @param mean mean of the distribution
     * @param cv coefficient of variation: standard deviation over mean
     */
    double lognormal(double mean, double cv) {
        double variance = Math.log1p(cv * cv);
        return mean * Math.exp(Math.sqrt(variance) * gaussian.sample() - variance / 2);
    }

    /** Returns a random index, drawn by weights of which the cumulative sums are given. */
    int nextWeightedIndex(double[] cumulativeWeights) {
        double position = random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1];
        int index = 0;
        while (index < cumulativeWeights.length - 1 && position >= cumulativeWeights[index]) {
            index++;
        }
        return index;
    }
}
