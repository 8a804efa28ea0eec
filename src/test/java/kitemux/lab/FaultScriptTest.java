package kitemux.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import kitemux.fleet.Emulation;
import kitemux.fleet.Fleet;
import kitemux.fleet.RunResult;
import org.junit.jupiter.api.Test;

/** What is done to a fleet that is tried out: read from a script, and done to real nodes over loopback. */
class FaultScriptTest {
    private final List<String> faults = new ArrayList<>();

    private List<FaultScript.TimedAction> read(String text) {
        return FaultScript.parse(text, TestFleets.small(), faults);
    }

    private static String box(int number) {
        return TestFleets.small().kinds().get(0).name() + "-" + number;
    }

    @Test
    void aScriptIsReadInOrderOfTimeAndAllItsFaultsAreTold() {
        List<FaultScript.TimedAction> deeds = read("# first the worst\n\n2.5s restart\n  1s kill " + box(0) + "\n");
        assertEquals(List.of(), faults);
        assertEquals(
                List.of(
                        new FaultScript.TimedAction(1_000_000, FaultScript.Action.KILL, box(0)),
                        new FaultScript.TimedAction(2_500_000, FaultScript.Action.RESTART, "")),
                deeds);
        read("kill\n1s burn " + box(0) + "\n1s kill\n1s slow nobody\n1s flood nobody\n");
        assertEquals(5, faults.size(), faults.toString());
        for (int line = 1; line <= 5; line++) {
            assertTrue(faults.get(line - 1).startsWith("line " + line + ": "), faults.toString());
        }
        assertTrue(faults.get(3).contains(box(0)), "it says which there are: " + faults.get(3));
    }

    @Test
    void eachDeedHasAKeyOfItsOwn() {
        Set<String> keys = new HashSet<>();
        for (FaultScript.Action deed : FaultScript.Action.values()) {
            assertTrue(keys.add(deed.key()) && !deed.key().matches("[0-9q]"), deed + ": " + deed.key());
        }
    }

    /** A watcher does things as time passes, sees them, and ends the run. */
    @Test
    void whatIsDoneIsSeenAndTheRunEndsWhenItIsToldTo() throws Exception {
        Fleet fleet = TestFleets.small();
        Fleet longer = fleet.with(new Fleet.Load(
                fleet.load().ratePerS(), 60_000_000, List.of(), fleet.load().quotaPerS(), 1));
        List<FaultScript.Action> deeds = new ArrayList<>(List.of(
                FaultScript.Action.KILL,
                FaultScript.Action.BACK,
                FaultScript.Action.SLOW,
                FaultScript.Action.BACK,
                FaultScript.Action.FAIL,
                FaultScript.Action.BACK,
                FaultScript.Action.SILENCE));
        List<String> seen = new ArrayList<>();
        RunResult result = LoopbackRun.execute(longer, 1, TestFleets::node, (live, nowUs) -> {
                    Emulation.BoxStatus box = live.boxStatuses().get(0);
                    seen.add(box.state());
                    if (deeds.isEmpty()) {
                        return false;
                    }
                    FaultScript.apply(deeds.remove(0), box.id(), longer, live);
                    return true;
                })
                .result();
        assertEquals(
                List.of("dead", "slow", "failing", "silent"),
                seen.stream()
                        .filter(state -> !state.equals("up") && !state.equals("cold"))
                        .toList());
        assertEquals(List.of(), result.violations());
        assertTrue(
                result.requests() > 0 && result.requests() < 30 * longer.load().ratePerS(), "it ended long before");
    }
}
