package kitemux.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class FitTest {
    @Test
    void aLineThroughPointsOfALineMissesNone() {
        Fit fit = Fit.of(new double[] {60, 600, 4_800}, new double[] {2.06, 2.6, 6.8});
        assertEquals(0.001, fit.slope(), 1e-12);
        assertEquals(2, fit.intercept(), 1e-9);
        assertEquals(0, fit.residual(), 1e-9);
        assertEquals(12, fit.at(10_000), 1e-9);
    }

    /** By hand: the mean is (1, 2), the slope 1, and the line misses by 1/3, -2/3 and 1/3. */
    @Test
    void whatALineMissesIsTold() {
        Fit fit = Fit.of(new double[] {0, 1, 2}, new double[] {4.0 / 3, 4.0 / 3, 10.0 / 3});
        assertEquals(1, fit.slope(), 1e-12);
        assertEquals(1, fit.intercept(), 1e-12);
        assertEquals(Math.sqrt((1.0 / 9 + 4.0 / 9 + 1.0 / 9) / 3), fit.residual(), 1e-12);
    }

    @Test
    void whatIsNoSeriesIsTurnedDown() {
        assertThrows(IllegalArgumentException.class, () -> Fit.of(new double[] {1, 2}, new double[] {1, 2}));
        assertThrows(IllegalArgumentException.class, () -> Fit.of(new double[] {1, 2, 3}, new double[] {1, 2}));
        assertThrows(IllegalArgumentException.class, () -> Fit.of(new double[] {7, 7, 7}, new double[] {1, 2, 3}));
    }
}
