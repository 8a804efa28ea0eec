package kitemux.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Several processes of real nodes, faults between them, and the judge's word. */
class DrillTest {
    /** A machine that is busy with something else may be too late to tell; a broken rule is told at once. */
    private static final int TRIES = 3;

    @TempDir
    Path folder;

    private Verdict judged(String text) throws Exception {
        Verdict verdict = null;
        for (int i = 0; i < TRIES && (verdict == null || !verdict.judged()); i++) {
            Drill.play(Played.read(text), Played::node, folder.resolve("t.jsonl"));
            verdict = Judge.of(folder.resolve("t.jsonl"));
        }
        return verdict;
    }

    @Test
    void killsStopsCrashesAndCutsBreakNoRule() throws Exception {
        Verdict verdict = judged("""
                fleet  = "small-fleet.hcl"
                nodes  = 5
                length = "8s"
                fault "dies" {
                  what = "kill"
                  at   = "1s"
                  for  = "500ms"
                  on   = ["node-0"]
                }
                fault "is stopped" {
                  what = "stop"
                  at   = "1500ms"
                  for  = "1500ms"
                  on   = ["node-1"]
                }
                fault "is gone" {
                  what = "crash"
                  at   = "2s"
                  for  = "1500ms"
                  on   = ["node-2"]
                }
                fault "hears nothing" {
                  what = "cut"
                  ways = "back"
                  at   = "2500ms"
                  for  = "1s"
                  from = ["node-3"]
                  to   = ["rack-0"]
                }
                fault "late" {
                  what   = "slow"
                  at     = "4s"
                  for    = "2s"
                  from   = ["nodes"]
                  to     = ["rack-1"]
                  delay  = "10ms"
                  spread = "60ms"
                }
                fault "flaps" {
                  what  = "flap"
                  at    = "4s"
                  for   = "2s"
                  from  = ["nodes"]
                  to    = ["list"]
                  every = "600ms"
                }
                fault "reset" {
                  what = "reset"
                  at   = "6500ms"
                  from = ["nodes"]
                  to   = ["boxes"]
                }
                """);
        assertEquals(List.of(), verdict.broken());
        assertTrue(verdict.isKept(), verdict.lines().toString());
        assertTrue(verdict.shares().get(0).wishes() > 500, verdict.lines().toString());
        // Three of five nodes are away in turn, and the front notices late.
        assertTrue(verdict.shares().get(0).inTime() > 0.6, verdict.lines().toString());

        // The same time-line without the faults that excuse it: the judge tells what was lost.
        List<String> without = Files.readAllLines(folder.resolve("t.jsonl")).stream()
                .filter(line -> !line.contains("\"e\":\"fault\"") && !line.contains("\"e\":\"down\""))
                .toList();
        Verdict unexcused = Judge.of(Files.write(folder.resolve("without.jsonl"), without));
        assertTrue(
                unexcused.broken().stream().anyMatch(line -> line.contains("no request lost")),
                unexcused.lines().toString());
        assertTrue(DrillPage.of("t", folder.resolve("t.jsonl"), verdict).contains("is stopped"));
    }

    /**
     * More than the servers can do, while nodes and ways break: much is refused, nothing lost or done
     * twice.
     */
    @Test
    void aStormWithNodesAtFaultAndAPartitionBreaksNoRule() throws Exception {
        Verdict verdict = judged("""
                fleet  = "storm-fleet.hcl"
                nodes  = 5
                length = "13s"
                phase "storm" {
                  from = "8s"
                  to   = "13s"
                }
                fault "dies" {
                  what = "kill"
                  at   = "9s"
                  for  = "500ms"
                  on   = ["node-0"]
                }
                fault "is stopped" {
                  what = "stop"
                  at   = "9500ms"
                  for  = "800ms"
                  on   = ["node-1"]
                }
                fault "partition" {
                  what = "cut"
                  at   = "10500ms"
                  for  = "1s"
                  from = ["node-2", "node-3"]
                  to   = ["rack-1", "list"]
                }
                """);
        assertEquals(List.of(), verdict.broken());
        assertTrue(verdict.isKept(), verdict.lines().toString());
        Verdict.Share storm = verdict.shares().get(1);
        assertTrue(storm.refused() > 100, verdict.lines().toString());
        // Orders and photos are three tenths of what is asked, and more than that is served.
        assertTrue(
                storm.byClass().get(1).inTime() > storm.byClass().get(0).inTime(),
                verdict.lines().toString());
    }

    @Test
    void noNodeOutlivesADrillThatIsKilled() throws Exception {
        Path timeline = folder.resolve("k.jsonl");
        Process drill = new ProcessBuilder(
                        ProcessHandle.current().info().command().orElseThrow(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Played.class.getName(),
                        timeline.toString())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("out").toFile())
                .start();
        // Two for each node: what guards it, and itself.
        while (drill.isAlive() && drill.descendants().count() < 10) {
            Thread.onSpinWait();
        }
        List<ProcessHandle> all = drill.descendants().toList();
        assertTrue(all.size() >= 10, () -> {
            try (BufferedReader said = Files.newBufferedReader(folder.resolve("out"))) {
                return said.readLine();
            } catch (java.io.IOException e) {
                return e.toString();
            }
        });
        drill.destroyForcibly().waitFor();
        for (ProcessHandle one : all) {
            one.onExit().get(20, TimeUnit.SECONDS);
        }
    }
}
