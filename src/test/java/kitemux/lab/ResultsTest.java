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

/** What is kept of runs, and what is said of them. */
class ResultsTest {
    @TempDir
    private Path folder;

    private static ResultRow row(String variant, Experiment.Environment where, long seed, double inTime) {
        return new ResultRow(variant, where, seed, inTime, inTime, inTime, 1_000, 2_000, 1, 100, 0, 0);
    }

    private static Experiment experiment(int seeds, Experiment.Environment... where) {
        return new Experiment(
                0.9,
                seeds,
                List.of(where),
                List.of(
                        new Experiment.Variant("a", "", 0, false, TestFleets.small()),
                        new Experiment.Variant(
                                "b",
                                "",
                                0,
                                false,
                                TestFleets.small().with(TestFleets.small().load().scaledBy(2)))));
    }

    private ResultsFolder results() throws IOException {
        return ResultsFolder.openOrCreate(folder.resolve("r"), Map.of("experiment.hcl", "as it was"));
    }

    // ---------------------------------------------------------------- the folder

    @Test
    void whatIsThereIsNotPlayedAgain() throws Exception {
        ExperimentRunner lab = new ExperimentRunner(TestFleets::node, 2, 1);
        List<ResultRow> first = new ArrayList<>();
        lab.runMissing(experiment(1, Experiment.Environment.EMULATOR), results(), first::add);
        assertEquals(2, first.size());
        List<ResultRow> more = new ArrayList<>();
        lab.runMissing(experiment(2, Experiment.Environment.EMULATOR), results(), more::add);
        assertEquals(List.of(2L, 2L), more.stream().map(ResultRow::seed).toList());
        assertEquals(4, results().rows().size());
    }

    @Test
    void theSameSeedGivesTheSameLineHoweverManyArePlayedAtOnce() throws Exception {
        ResultsFolder one = ResultsFolder.openOrCreate(folder.resolve("one"), Map.of());
        ResultsFolder many = ResultsFolder.openOrCreate(folder.resolve("many"), Map.of());
        new ExperimentRunner(TestFleets::node, 1, 1).runMissing(experiment(3, Experiment.Environment.EMULATOR), one, row -> {});
        new ExperimentRunner(TestFleets::node, 8, 1).runMissing(experiment(3, Experiment.Environment.EMULATOR), many, row -> {});
        assertEquals(
                one.rows().stream().map(ResultRow::toLine).sorted().toList(),
                many.rows().stream().map(ResultRow::toLine).sorted().toList());
    }

    @Test
    void aLineThatWasCutOffIsPlayedAgainAndLeavesNothing() throws IOException {
        ResultsFolder results = results();
        results.append(row("a", Experiment.Environment.LOOPBACK, 1, 0.5));
        Files.writeString(folder.resolve("r").resolve("runs.tsv"), "a\tloopback\t2\t0.4", StandardOpenOption.APPEND);
        assertEquals(1, results.rows().size());
        results.append(row("a", Experiment.Environment.LOOPBACK, 2, 0.6));
        assertEquals(List.of(0.5, 0.6), results.rows().stream().map(ResultRow::inTimeRatio).toList());
    }

    @Test
    void theResultsOfSomethingElseAreNotMixedIn() throws IOException {
        results();
        IOException told = assertThrows(
                IOException.class,
                () -> ResultsFolder.openOrCreate(folder.resolve("r"), Map.of("experiment.hcl", "as it is now")));
        assertTrue(told.getMessage().contains("experiment.hcl differs"), told.getMessage());
    }

    @Test
    void aLineThatCannotBeReadIsToldWithItsPlace() throws IOException {
        ResultsFolder results = results();
        Files.writeString(folder.resolve("r").resolve("runs.tsv"), "nonsense\n", StandardOpenOption.APPEND);
        IOException told = assertThrows(IOException.class, results::rows);
        assertTrue(told.getMessage().contains("line 2: has 1 fields"), told.getMessage());
    }

    // ---------------------------------------------------------------- what is said of them

    @Test
    void aPredictionIsHeldAgainstWhatHappened() {
        List<ResultRow> rows = List.of(
                row("a", Experiment.Environment.EMULATOR, 1, 0.88),
                row("a", Experiment.Environment.LOOPBACK, 1, 0.8),
                row("b", Experiment.Environment.EMULATOR, 1, 0.5));
        List<PredictionReport.VariantResult> lines = PredictionReport.variantResults(experiment(1, Experiment.Environment.values()), rows);
        assertEquals(0.1, lines.get(0).relativeError(), 1e-9);
        assertTrue(Double.isNaN(lines.get(1).relativeError()), "nothing happened that it could be held against");
        assertTrue(PredictionReport.table(experiment(1, Experiment.Environment.values()), rows)
                .get(2)
                .contains("| 0.880 | 0.800 | +10.0% |"));
    }

    @Test
    void aSeriesCrossesTheGoalBetweenItsPointsAndServersAreCounted() {
        List<Experiment.Variant> variants = new ArrayList<>();
        List<ResultRow> rows = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            variants.add(new Experiment.Variant("load " + i, "load", i, false, TestFleets.small()));
            variants.add(new Experiment.Variant("std " + i, "std", i, true, TestFleets.small()));
            rows.add(row("load " + i, Experiment.Environment.EMULATOR, 1, 1.1 - 0.1 * i));
            rows.add(row("load " + i, Experiment.Environment.LOOPBACK, 1, 1.05 - 0.1 * i));
            rows.add(row("std " + i, Experiment.Environment.EMULATOR, 1, 0.61 + 0.1 * i));
            rows.add(row("std " + i, Experiment.Environment.LOOPBACK, 1, 0.71 + 0.1 * i));
        }
        Experiment experiment = new Experiment(0.9, 1, List.of(Experiment.Environment.values()), variants);
        List<PredictionReport.GoalCrossing> found = PredictionReport.goalCrossings(experiment, PredictionReport.variantResults(experiment, rows));
        assertEquals(2, found.get(0).predicted(), 1e-6);
        assertEquals(1.5, found.get(0).measured(), 1e-6);
        assertEquals(3, found.get(1).predicted());
        assertEquals(2, found.get(1).measured());
    }

    @Test
    void whatChanceMayHaveDoneIsNotToldApart() {
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
        assertFalse(ResultsComparison.compare(first.subList(0, 1), better).get(0).isSignificant(), "of one pair nothing is told");
        assertEquals(List.of(), ResultsComparison.compare(first, List.of(row("b", Experiment.Environment.EMULATOR, 1, 1))));
        assertNotEquals(ResultsComparison.compare(first, better), ResultsComparison.compare(first, other));
    }

    @Test
    void thePageHoldsAllThatItNeeds() {
        String page = ResultsPage.render(
                "<trial> @DATA@",
                experiment(1, Experiment.Environment.values()),
                List.of(row("a", Experiment.Environment.EMULATOR, 1, 0.95), row("a", Experiment.Environment.LOOPBACK, 1, 0.8)));
        assertTrue(page.contains("<h1>&lt;trial&gt; @DATA@</h1>"));
        assertTrue(page.contains("class=\"off\">+18.7%"), "a miss is marked");
        assertTrue(page.contains("\"predicted\":[0.95,null]"));
        assertFalse(page.contains("<script src") || page.contains("<link"), "it asks for another file");
        assertTrue(page.contains("uPlot="), "the charts are not in it");
    }
}
