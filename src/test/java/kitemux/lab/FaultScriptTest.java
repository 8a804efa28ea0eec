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

/** Tests parsing of fault scripts and their actions on real nodes over loopback. */
class FaultScriptTest {
    private final List<String> errors = new ArrayList<>();

    private List<FaultScript.TimedAction> parse(String text) {
        return FaultScript.parse(text, TestFleets.smallFleet(), errors);
    }

    private static String box(int number) {
        return TestFleets.smallFleet().kinds().get(0).name() + "-" + number;
    }

    @Test
    void actionsAreSortedByTimeAndAllErrorsAreReported() {
        List<FaultScript.TimedAction> actions = parse("# first the worst\n\n2.5s restart\n  1s kill " + box(0) + "\n");
        assertEquals(List.of(), errors);
        assertEquals(
                List.of(
                        new FaultScript.TimedAction(1_000_000, FaultScript.Action.KILL, box(0)),
                        new FaultScript.TimedAction(2_500_000, FaultScript.Action.RESTART, "")),
                actions);
        parse("kill\n1s burn " + box(0) + "\n1s kill\n1s slow nobody\n1s flood nobody\n");
        assertEquals(5, errors.size(), errors.toString());
        for (int line = 1; line <= 5; line++) {
            assertTrue(errors.get(line - 1).startsWith("line " + line + ": "), errors.toString());
        }
        assertTrue(errors.get(3).contains(box(0)), "the message lists the servers: " + errors.get(3));
    }

    @Test
    void eachActionHasUniqueKey() {
        Set<String> keys = new HashSet<>();
        for (FaultScript.Action action : FaultScript.Action.values()) {
            assertTrue(keys.add(action.key()) && !action.key().matches("[0-9q]"), action + ": " + action.key());
        }
    }

    /** A watcher injects faults in the course of a run, observes their effect and ends the run. */
    @Test
    void injectedFaultsShowInStatusAndWatcherEndsRun() throws Exception {
        Fleet fleet = TestFleets.smallFleet();
        Fleet longer = fleet.with(new Fleet.Load(
                fleet.load().ratePerS(), 60_000_000, List.of(), fleet.load().quotaPerS(), 1));
        List<FaultScript.Action> actions = new ArrayList<>(List.of(
                FaultScript.Action.KILL,
                FaultScript.Action.BACK,
                FaultScript.Action.SLOW,
                FaultScript.Action.BACK,
                FaultScript.Action.FAIL,
                FaultScript.Action.BACK,
                FaultScript.Action.SILENCE));
        List<String> states = new ArrayList<>();
        RunResult result = LoopbackRun.execute(longer, 1, TestFleets::nodeCommand, (emulation, nowUs) -> {
                    Emulation.BoxStatus box = emulation.boxStatuses().get(0);
                    states.add(box.state());
                    if (actions.isEmpty()) {
                        return false;
                    }
                    FaultScript.apply(actions.remove(0), box.id(), longer, emulation);
                    return true;
                })
                .result();
        assertEquals(
                List.of("dead", "slow", "failing", "silent"),
                states.stream()
                        .filter(state -> !state.equals("up") && !state.equals("cold"))
                        .toList());
        assertEquals(List.of(), result.violations());
        assertTrue(
                result.requests() > 0 && result.requests() < 30 * longer.load().ratePerS(),
                "the run did not end early");
    }
}
