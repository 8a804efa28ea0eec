package kitemux.plan;

import java.util.List;
import java.util.Locale;
import org.apache.commons.statistics.distribution.TDistribution;

/**
 * A mean over seeds with the interval in which it lies with 95% confidence.
 *
 * @param sampleCount how many it rests on
 */
public record Estimate(double mean, double low, double high, int sampleCount) {
    private static final double CONFIDENCE = 0.95;

    /** By Student's t; of one value alone the interval is all that there is. */
    public static Estimate of(List<Double> values) {
        int n = values.size();
        double mean = values.stream().mapToDouble(v -> v).average().orElse(Double.NaN);
        if (n < 2) {
            return new Estimate(mean, Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY, n);
        }
        double variance =
                values.stream().mapToDouble(v -> (v - mean) * (v - mean)).sum() / (n - 1);
        double half = TDistribution.of(n - 1).inverseCumulativeProbability(1 - (1 - CONFIDENCE) / 2)
                * Math.sqrt(variance / n);
        return new Estimate(mean, mean - half, mean + half, n);
    }

    /** Half of the interval's length. */
    public double halfWidth() {
        return (high - low) / 2;
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.3f (%.3f to %.3f, %d seeds)", mean, low, high, sampleCount);
    }
}
