package kitemux.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import kitemux.cli.Main;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Worlds on a virtual clock: what they find, that they find it, and that they are the same each time. */
@Timeout(300)
class WorldTest {
    private static final int JOBS = Math.max(2, Runtime.getRuntime().availableProcessors());

    private static FaultRuns.Summary play(String kind, long first, long last, int jobs) throws Exception {
        return new FaultRuns(kind, Defect.NONE).play(first, last, jobs, null);
    }

    @Test
    void fixedSeedsBreakNoRule() throws Exception {
        FaultRuns.Summary sum = play("random", 1, 300, JOBS);
        assertEquals(List.of(), sum.firstBroken(), "seed " + sum.firstSeed());
        assertEquals(300, sum.seeds());
        assertTrue(sum.served() > 50_000 && sum.refused() > 1_000 && sum.failed() > 100, "it was no idle run");
    }

    static Stream<String> kinds() {
        return FaultRuns.kinds().stream().filter(kind -> !kind.equals("random"));
    }

    @ParameterizedTest
    @MethodSource("kinds")
    void theHardCasesBreakNoRule(String kind) throws Exception {
        FaultRuns.Summary sum = play(kind, 1, 30, JOBS);
        assertEquals(List.of(), sum.firstBroken(), kind + " seed " + sum.firstSeed());
        assertTrue(sum.served() > 1_000, "it was no idle run");
    }

    /** Seeds that broke a rule before what they found was mended; each fails again without its mend. */
    @ParameterizedTest
    @CsvSource({
        "random, 98, a request's time runs while it lies unread",
        "random, 1025, and while its connection waits to be taken in",
        "behind, 40, the same where a loop is a tenth of a second behind",
        "same-turn, 6, the same where all comes in one turn",
        "random, 250, what lies on a connection for which there is no room is answered",
        "same-turn, 2, the same as a node ends",
        "old-list, 7, an older list takes no drain back",
        "random, 505, no timer outlives its connection",
        "slow-node, 2221, whose time is long over is answered before more is read",
    })
    void whatSeedsHaveFoundStaysMended(String kind, long seed, String what) {
        World.Verdict verdict = World.play(Scenario.of(kind).plan(seed), Defect.NONE, null);
        assertEquals(List.of(), verdict.breaches(), what);
        assertTrue(verdict.served() > 50, "it was no idle run");
    }

    @ParameterizedTest
    @EnumSource(Mutant.class)
    void aDeliberateDefectIsFound(Mutant mutant) throws Exception {
        FaultRuns.Summary sum = new FaultRuns(mutant.kind, mutant).playUntil(1, 2_000, JOBS, mutant.rule, null);
        assertTrue(sum.broken() > 0, mutant + " was not found in " + sum.seeds() + " seeds");
        List<Breach> found = sum.failing().lastEntry().getValue();
        assertTrue(
                found.stream().anyMatch(b -> b.rule() == mutant.rule),
                mutant + " seed " + sum.failing().lastKey() + ": " + found);
        System.out.println(mutant + ": seed " + sum.failing().lastKey() + ", "
                + found.stream()
                        .filter(b -> b.rule() == mutant.rule)
                        .findFirst()
                        .orElseThrow());
    }

    @Test
    void theSameSeedIsTheSameWithAnyNumberOfJobsAndInAnotherProcess() throws Exception {
        FaultRuns.Summary alone = play("random", 1, 16, 1);
        FaultRuns.Summary many = play("random", 1, 16, 7);
        assertEquals(alone.digest(), many.digest());
        assertEquals(alone.steps(), many.steps());
        assertNotEquals(alone.digest(), play("random", 2, 17, 7).digest());
        Process other = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "faults",
                        "--seeds",
                        "1-16",
                        "--jobs",
                        "3")
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        String said = new String(other.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, other.waitFor(), said);
        assertTrue(said.contains(String.format("digest %016x", alone.digest())), said);
        assertTrue(
                said.endsWith("16 seeds, " + alone.steps() + " steps, 0 broken rules" + System.lineSeparator()), said);
    }

    @Test
    void aTraceChangesNothingAndIsTheSameEachTime() {
        Plan plan = Scenario.RANDOM.plan(5);
        StringWriter first = new StringWriter();
        StringWriter second = new StringWriter();
        World.Verdict traced = World.play(plan, Defect.NONE, new PrintWriter(first));
        World.play(plan, Defect.NONE, new PrintWriter(second));
        assertEquals(World.play(plan, Defect.NONE, null).digest(), traced.digest());
        assertEquals(first.toString(), second.toString());
        assertTrue(first.toString().contains("ATTEMPT") && first.toString().contains("ANSWER"));
    }

    @Test
    void aFailingSeedIsSaidAndCutDown(@TempDir Path folder) throws Exception {
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(printed, true, StandardCharsets.UTF_8);
        FaultRuns runs = new FaultRuns("drain-while-dialing", Mutant.DEAF_TO_DRAINS);
        FaultRuns.Summary sum = runs.play(1, 40, JOBS, null);
        assertEquals(1, runs.report(sum, out));
        String said = printed.toString(StandardCharsets.UTF_8);
        long seed = sum.firstSeed();
        assertTrue(said.contains("seed " + seed + ": DRAINS (drains are kept) at step "), said);
        assertTrue(said.contains("faults --seed " + seed + " --only drain-while-dialing"), said);
        List<String> left = runs.shrink(seed, out);
        assertTrue(
                left.size() < Scenario.DRAIN_WHILE_DIALING.plan(seed).faults().size(), left.toString());
        assertTrue(left.stream().allMatch(f -> f.startsWith("BOX_DRAINS")), left.toString());
        Path trace = folder.resolve("trace");
        assertEquals(1, runs.playOne(seed, List.of(), trace, out));
        assertTrue(Files.readString(trace).contains("BREACH"));
        assertFalse(printed.toString(StandardCharsets.UTF_8).contains("not found"));
    }
}
