package kitemux.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import kitemux.lab.LoopbackRun;
import kitemux.node.UnsoundNode;
import kitemux.node.UnsoundNode.Defect;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Processes of unsound nodes, and whether the judge names what they do. */
@Timeout(120)
class UnsoundNodeTest {
    /** A machine that is busy with something else may be too late to tell. */
    private static final int TRIES = 3;

    private static final int MEAN_WORK_US = 20_000;

    @TempDir
    Path folder;

    private static LoopbackRun.Launcher unsound(Defect defect) {
        return () -> {
            ProcessBuilder node = Played.node();
            List<String> command = new ArrayList<>(node.command());
            // In place of the program and its command.
            command.subList(command.size() - 2, command.size()).clear();
            command.addAll(List.of(UnsoundNode.class.getName(), defect.name(), "" + MEAN_WORK_US));
            return node.command(command);
        };
    }

    private Verdict judged(Scenario scenario, LoopbackRun.Launcher launcher) throws Exception {
        Verdict verdict = null;
        for (int i = 0; i < TRIES && (verdict == null || !verdict.judged()); i++) {
            Drill.play(scenario, launcher, folder.resolve("t.jsonl"));
            verdict = Judge.of(folder.resolve("t.jsonl"));
        }
        assertTrue(verdict.judged(), verdict.lines().toString());
        return verdict;
    }

    @Test
    void aNodeThatSendsOnLateIsFound() throws Exception {
        Verdict verdict = judged(Played.read("""
                fleet  = "small-fleet.hcl"
                nodes  = 2
                length = "3s"
                """), unsound(Defect.SENDS_ON_LATE));
        List<String> late = verdict.broken().stream()
                .filter(line -> line.contains("no one who left sent on"))
                .toList();
        assertTrue(!late.isEmpty(), verdict.lines().toString());
        System.out.println("drill, sends on late: " + late.get(0));
    }

    /** Half a second more does not hide what is lost, nor does a player that measures itself. */
    @Test
    void aNodeThatNeverAnswersIsFound() throws Exception {
        Verdict verdict = judged(Played.read("""
                fleet  = "small-fleet.hcl"
                nodes  = 2
                length = "3s"
                """), unsound(Defect.NEVER_ANSWERS));
        List<String> lost = verdict.broken().stream()
                .filter(line -> line.contains("no request lost"))
                .toList();
        assertTrue(!lost.isEmpty(), verdict.lines().toString());
        System.out.println("drill, never answers: " + lost.get(0));
    }

    /** Six nodes; three of ten servers vanish and come back cold, starting at 0.12 of what they can do. */
    private static Scenario coldServers() throws IOException {
        List<String> faults = new ArrayList<>();
        Scenario scenario = ScenarioFile.read(
                "d.hcl",
                """
                fleet  = "storm-fleet.hcl"
                nodes  = 6
                length = "6s"
                """,
                null,
                path -> Files.readString(Path.of("examples", "drill", path))
                        .replace("cold_from = 0.5", "cold_from = 0.12")
                        .replace("cold      = \"2s\"", "cold      = \"20s\"")
                        .replaceAll("(?s)\\n  point \\{.*?\\n  \\}", "")
                        .replace("\"vanish\"", "\"die\"")
                        .replace("\"10s\"", "\"2s\"")
                        .replace("\"4s\"", "\"1s\""),
                faults);
        assertEquals(List.of(), faults);
        return scenario;
    }

    @Test
    void nodesThatBudgetEachByItselfAreFound() throws Exception {
        Verdict verdict = judged(coldServers(), unsound(Defect.BUDGETS_BY_NODE));
        List<String> cold = verdict.broken().stream()
                .filter(line -> line.contains("no cold server pushed over"))
                .toList();
        assertTrue(!cold.isEmpty(), verdict.lines().toString());
        System.out.println("drill, budgets by node: " + cold.get(0));
    }

    @Test
    void sixSoundNodesPushNoColdServerOver() throws Exception {
        Verdict verdict = judged(coldServers(), Played::node);
        assertEquals(List.of(), verdict.broken());
        System.out.printf(
                Locale.ROOT,
                "drill, six nodes: a cold server met at most %.2f of what it " + "stands%n",
                verdict.sums().coldest());
        assertTrue(
                verdict.sums().coldest() > 0.1,
                "cold servers were used: " + verdict.sums().coldest());
    }
}
