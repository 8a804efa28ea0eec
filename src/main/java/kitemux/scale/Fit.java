package kitemux.scale;

/**
 * A straight line through measured points by least squares.
 *
 * @param slope growth of the figure for one more of what it was measured by
 * @param intercept the figure at none of it
 * @param residual root of the mean square of what the line misses the points by, in the figure's unit
 */
record Fit(double slope, double intercept, double residual) {

    /**
     * The line that misses the points least.
     *
     * @throws IllegalArgumentException if there are fewer than three points, as two tell nothing of what a
     *     line misses, or all are at one place
     */
    static Fit of(double[] at, double[] figures) {
        int n = at.length;
        if (n < 3 || n != figures.length) {
            throw new IllegalArgumentException(n + " sizes and " + figures.length + " figures");
        }
        double meanAt = 0;
        double mean = 0;
        for (int i = 0; i < n; i++) {
            meanAt += at[i] / n;
            mean += figures[i] / n;
        }
        double spread = 0;
        double common = 0;
        for (int i = 0; i < n; i++) {
            spread += (at[i] - meanAt) * (at[i] - meanAt);
            common += (at[i] - meanAt) * (figures[i] - mean);
        }
        if (spread == 0) {
            throw new IllegalArgumentException("all sizes are " + meanAt);
        }
        double slope = common / spread;
        double intercept = mean - slope * meanAt;
        double missed = 0;
        for (int i = 0; i < n; i++) {
            double by = figures[i] - (intercept + slope * at[i]);
            missed += by * by / n;
        }
        return new Fit(slope, intercept, Math.sqrt(missed));
    }

    /** The figure at this size, by the line. */
    double at(double size) {
        return intercept + slope * size;
    }
}
