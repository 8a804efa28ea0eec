package kitemux.plan;

import java.util.List;
import java.util.Locale;
import org.apache.commons.statistics.distribution.TDistribution;

/**
 * A mean over runs with different seeds, with its 95% confidence interval.
 *
 * @param mean mean of the values
 * @param low lower bound of the interval
 * @param high upper bound of the interval
 * @param sampleCount number of values
 */
public record Estimate(double mean, double low, double high, int sampleCount) {
    private static final double CONFIDENCE = 0.95;

    /** Computes the estimate with Student's t distribution. The interval of fewer than two values is infinite. */
    public static Estimate of(List<Double> values) {
        int count = values.size();
        double mean = values.stream().mapToDouble(v -> v).average().orElse(Double.NaN);
        if (count < 2) {
            return new Estimate(mean, Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY, count);
        }
        double variance =
                values.stream().mapToDouble(v -> (v - mean) * (v - mean)).sum() / (count - 1);
        double halfWidth = TDistribution.of(count - 1).inverseCumulativeProbability(1 - (1 - CONFIDENCE) / 2)
                * Math.sqrt(variance / count);
        return new Estimate(mean, mean - halfWidth, mean + halfWidth, count);
    }

    /** Returns half of the width of the interval. */
    public double halfWidth() {
        return (high - low) / 2;
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.3f (%.3f to %.3f, %d seeds)", mean, low, high, sampleCount);
    }
}
