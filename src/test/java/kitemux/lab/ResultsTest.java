package kitemux.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the storage and evaluation of results. */
class ResultsTest {
    @TempDir
    private Path folder;

    private static ResultRow row(String variant, Experiment.Environment environment, long seed, double inTimeRatio) {
        return new ResultRow(
                variant, environment, seed, inTimeRatio, inTimeRatio, inTimeRatio, 1_000, 2_000, 1, 100, 0, 0);
    }

    private static Experiment experiment(int seeds, Experiment.Environment... environment) {
        return new Experiment(
                0.9,
                seeds,
                List.of(environment),
                List.of(
                        new Experiment.Variant("a", "", 0, false, TestFleets.smallFleet()),
                        new Experiment.Variant(
                                "b",
                                "",
                                0,
                                false,
                                TestFleets.smallFleet()
                                        .with(TestFleets.smallFleet().load().scaledBy(2)))));
    }

    private ResultsFolder openResults() throws IOException {
        return ResultsFolder.openOrCreate(folder.resolve("r"), Map.of("experiment.hcl", "as it was"));
    }

    // ---------------------------------------------------------------- folder

    @Test
    void existingResultsAreNotRunAgain() throws Exception {
        ExperimentRunner runner = new ExperimentRunner(TestFleets::nodeCommand, 2, 1);
        List<ResultRow> first = new ArrayList<>();
        runner.runMissing(experiment(1, Experiment.Environment.EMULATOR), openResults(), first::add);
        assertEquals(2, first.size());
        List<ResultRow> more = new ArrayList<>();
        runner.runMissing(experiment(2, Experiment.Environment.EMULATOR), openResults(), more::add);
        assertEquals(List.of(2L, 2L), more.stream().map(ResultRow::seed).toList());
        assertEquals(4, openResults().rows().size());
    }

    @Test
    void resultsDoNotDependOnConcurrency() throws Exception {
        ResultsFolder one = ResultsFolder.openOrCreate(folder.resolve("one"), Map.of());
        ResultsFolder many = ResultsFolder.openOrCreate(folder.resolve("many"), Map.of());
        new ExperimentRunner(TestFleets::nodeCommand, 1, 1)
                .runMissing(experiment(3, Experiment.Environment.EMULATOR), one, row -> {});
        new ExperimentRunner(TestFleets::nodeCommand, 8, 1)
                .runMissing(experiment(3, Experiment.Environment.EMULATOR), many, row -> {});
        assertEquals(
                one.rows().stream().map(ResultRow::toLine).sorted().toList(),
                many.rows().stream().map(ResultRow::toLine).sorted().toList());
    }

    @Test
    void incompleteLineIsIgnoredAndOverwritten() throws IOException {
        ResultsFolder results = openResults();
        results.append(row("a", Experiment.Environment.LOOPBACK, 1, 0.5));
        Files.writeString(folder.resolve("r").resolve("runs.tsv"), "a\tloopback\t2\t0.4", StandardOpenOption.APPEND);
        assertEquals(1, results.rows().size());
        results.append(row("a", Experiment.Environment.LOOPBACK, 2, 0.6));
        assertEquals(
                List.of(0.5, 0.6),
                results.rows().stream().map(ResultRow::inTimeRatio).toList());
    }

    @Test
    void folderOfOtherExperimentIsRejected() throws IOException {
        openResults();
        IOException failure = assertThrows(
                IOException.class,
                () -> ResultsFolder.openOrCreate(folder.resolve("r"), Map.of("experiment.hcl", "as it is now")));
        assertTrue(failure.getMessage().contains("experiment.hcl differs"), failure.getMessage());
    }

    @Test
    void invalidLineIsReportedWithItsNumber() throws IOException {
        ResultsFolder results = openResults();
        Files.writeString(folder.resolve("r").resolve("runs.tsv"), "nonsense\n", StandardOpenOption.APPEND);
        IOException failure = assertThrows(IOException.class, results::rows);
        assertTrue(failure.getMessage().contains("line 2: has 1 fields"), failure.getMessage());
    }

    // ---------------------------------------------------------------- evaluation

    @Test
    void predictionErrorIsRelativeToMeasurement() {
        List<ResultRow> rows = List.of(
                row("a", Experiment.Environment.EMULATOR, 1, 0.88),
                row("a", Experiment.Environment.LOOPBACK, 1, 0.8),
                row("b", Experiment.Environment.EMULATOR, 1, 0.5));
        List<PredictionReport.VariantResult> lines =
                PredictionReport.variantResults(experiment(1, Experiment.Environment.values()), rows);
        assertEquals(0.1, lines.get(0).relativeError(), 1e-9);
        assertTrue(Double.isNaN(lines.get(1).relativeError()), "there is no measurement to compare with");
        assertTrue(PredictionReport.table(experiment(1, Experiment.Environment.values()), rows)
                .get(2)
                .contains("| 0.880 | 0.800 | +10.0% |"));
    }

    @Test
    void goalCrossingIsInterpolatedExceptForServerCounts() {
        List<Experiment.Variant> variants = new ArrayList<>();
        List<ResultRow> rows = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            variants.add(new Experiment.Variant("load " + i, "load", i, false, TestFleets.smallFleet()));
            variants.add(new Experiment.Variant("std " + i, "std", i, true, TestFleets.smallFleet()));
            rows.add(row("load " + i, Experiment.Environment.EMULATOR, 1, 1.1 - 0.1 * i));
            rows.add(row("load " + i, Experiment.Environment.LOOPBACK, 1, 1.05 - 0.1 * i));
            rows.add(row("std " + i, Experiment.Environment.EMULATOR, 1, 0.61 + 0.1 * i));
            rows.add(row("std " + i, Experiment.Environment.LOOPBACK, 1, 0.71 + 0.1 * i));
        }
        Experiment experiment = new Experiment(0.9, 1, List.of(Experiment.Environment.values()), variants);
        List<PredictionReport.GoalCrossing> crossings =
                PredictionReport.goalCrossings(experiment, PredictionReport.variantResults(experiment, rows));
        assertEquals(2, crossings.get(0).predicted(), 1e-6);
        assertEquals(1.5, crossings.get(0).measured(), 1e-6);
        assertEquals(3, crossings.get(1).predicted());
        assertEquals(2, crossings.get(1).measured());
    }

    @Test
    void differenceWithinChanceIsNotSignificant() {
        List<ResultRow> first = new ArrayList<>();
        List<ResultRow> better = new ArrayList<>();
        List<ResultRow> other = new ArrayList<>();
        for (int seed = 1; seed <= 8; seed++) {
            first.add(row("a", Experiment.Environment.EMULATOR, seed, 0.8));
            better.add(row("a", Experiment.Environment.EMULATOR, seed, 0.82 + 0.001 * seed));
            other.add(row("a", Experiment.Environment.EMULATOR, seed, 0.8 + (seed % 2 == 0 ? 0.05 : -0.05)));
        }
        assertTrue(ResultsComparison.compare(first, better).get(0).isSignificant());
        assertEquals(0.0245, ResultsComparison.compare(first, better).get(0).mean(), 1e-9);
        assertFalse(ResultsComparison.compare(first, other).get(0).isSignificant());
        assertFalse(
                ResultsComparison.compare(first.subList(0, 1), better).get(0).isSignificant(),
                "a single pair is not significant");
        assertEquals(
                List.of(), ResultsComparison.compare(first, List.of(row("b", Experiment.Environment.EMULATOR, 1, 1))));
        assertNotEquals(ResultsComparison.compare(first, better), ResultsComparison.compare(first, other));
    }

    @Test
    void pageIsSelfContained() {
        String page = ResultsPage.render(
                "<trial> @DATA@",
                experiment(1, Experiment.Environment.values()),
                List.of(
                        row("a", Experiment.Environment.EMULATOR, 1, 0.95),
                        row("a", Experiment.Environment.LOOPBACK, 1, 0.8)));
        assertTrue(page.contains("<h1>&lt;trial&gt; @DATA@</h1>"));
        assertTrue(page.contains("class=\"off\">+18.7%"), "a large error is highlighted");
        assertTrue(page.contains("\"predicted\":[0.95,null]"));
        assertFalse(page.contains("<script src") || page.contains("<link"), "the page refers to another file");
        assertTrue(page.contains("uPlot="), "the chart library is missing");
    }
}
