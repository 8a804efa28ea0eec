package kitemux.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks the invariant checker with handwritten histories: it accepts a valid one and names the violated
 * invariant of each invalid one.
 */
class InvariantCheckerTest {
    private static final Map<String, String> ONE = Map.of("realms/a", "1");
    private static final Map<String, String> TWO = Map.of("realms/a", "2");

    private static List<InvariantChecker.Violation> violationsOf(List<InvariantChecker.Observation> history) {
        InvariantChecker classes = new InvariantChecker(
                Map.of(0L, Map.of()),
                values -> !values.getOrDefault("realms/a", "0").startsWith("-"),
                (node, values) -> true);
        history.forEach(classes::observe);
        return classes.violations();
    }

    /**
     * Returns the history of one node and one keeper in which a version is chosen, confirmed and put in
     * force.
     */
    private static List<InvariantChecker.Observation> validHistory() {
        return new ArrayList<>(List.of(
                new InvariantChecker.NodeStarted(0, 0, "n0"),
                new InvariantChecker.InForce(0, 0, "n0", 0, Map.of()),
                new InvariantChecker.Reachability(0, 0, true, 0),
                new InvariantChecker.Known(0, "k0", 0, "", Map.of()),
                new InvariantChecker.Persisted(1_000, 0, 1, "x"),
                new InvariantChecker.Persisted(1_000, 1, 1, "x"),
                new InvariantChecker.Persisted(1_000, 3, 1, "x"),
                new InvariantChecker.Known(2_000, "k0", 1, "x", ONE),
                new InvariantChecker.ChangeConfirmed(2_000, "x", 1),
                new InvariantChecker.KeeperServed(3_000, "n0", 1),
                new InvariantChecker.BytesSent(3_000, "n0", 8_000),
                new InvariantChecker.InForce(4_000, 0, "n0", 1, ONE),
                new InvariantChecker.ReportSent(4_200, 0),
                new InvariantChecker.ReportReceived(4_500, "k0", "n0"),
                new InvariantChecker.CountedInForce(5_000, 0, 1, List.of("k0")),
                new InvariantChecker.BytesSent(1_000_000, "n0", 8_000),
                new InvariantChecker.TimePassed(4_100_000)));
    }

    private static List<InvariantChecker.Observation> withObservations(InvariantChecker.Observation... added) {
        List<InvariantChecker.Observation> all = validHistory();
        all.addAll(List.of(added));
        return all;
    }

    private static List<InvariantChecker.Observation> withoutObservation(
            Class<? extends InvariantChecker.Observation> kind, int index) {
        List<InvariantChecker.Observation> all = validHistory();
        all.remove(all.stream().filter(kind::isInstance).toList().get(index));
        return all;
    }

    @Test
    void validHistoryHasNoViolation() {
        assertEquals(List.of(), violationsOf(validHistory()));
    }

    @Test
    void reportUnknownToAskedKeepersIsNoViolation() {
        assertEquals(
                List.of(),
                violationsOf(withObservations(
                        new InvariantChecker.NodeStarted(5_000_000, 0, "n0 again"),
                        new InvariantChecker.InForce(5_000_000, 0, "n0 again", 0, Map.of()),
                        new InvariantChecker.ReportReceived(5_000_000, "k1", "n0 again"),
                        new InvariantChecker.CountedInForce(5_000_001, 0, 1, List.of("k0")))));
    }

    @Test
    void recentlyReportedNodeMayBeCounted() {
        assertEquals(
                List.of(),
                violationsOf(withObservations(new InvariantChecker.CountedInForce(26_004_199, 0, 1, List.of("k0")))));
    }

    @Test
    void nodeWithinDeadlineOrUnreachableIsNotLate() {
        List<InvariantChecker.Observation> history = withoutObservation(InvariantChecker.InForce.class, 1);
        history.removeIf(s -> s instanceof InvariantChecker.CountedInForce);
        history.set(history.size() - 1, new InvariantChecker.TimePassed(4_001_000));
        assertEquals(List.of(), violationsOf(history));
        history.set(2, new InvariantChecker.Reachability(0, 0, false, 0));
        history.set(history.size() - 1, new InvariantChecker.TimePassed(60_000_000));
        assertEquals(List.of(), violationsOf(history));
    }

    static Stream<Arguments> invalidHistories() {
        long atUs = 5_000_000;
        return Stream.of(
                Arguments.of(
                        InvariantChecker.Invariant.ONE_HISTORY,
                        withObservations(new InvariantChecker.Known(atUs, "k1", 1, "y", TWO))),
                Arguments.of(
                        InvariantChecker.Invariant.ONE_HISTORY,
                        withObservations(new InvariantChecker.InForce(atUs, 0, "n0", 7, TWO))),
                Arguments.of(
                        InvariantChecker.Invariant.MONOTONIC,
                        withObservations(new InvariantChecker.InForce(atUs, 0, "n0", 0, Map.of()))),
                Arguments.of(
                        InvariantChecker.Invariant.MONOTONIC,
                        withObservations(new InvariantChecker.Known(atUs, "k0", 0, "", Map.of()))),
                Arguments.of(
                        InvariantChecker.Invariant.MONOTONIC,
                        withObservations(new InvariantChecker.KeeperServed(atUs, "n0", 0))),
                Arguments.of(
                        InvariantChecker.Invariant.COMPLETE,
                        withObservations(new InvariantChecker.InForce(atUs, 0, "n0", 1, TWO))),
                Arguments.of(
                        InvariantChecker.Invariant.TIMELY,
                        Stream.of(withoutObservation(InvariantChecker.InForce.class, 1))
                                .peek(all -> all.removeIf(s -> s instanceof InvariantChecker.CountedInForce))
                                .findFirst()
                                .orElseThrow()),
                Arguments.of(
                        InvariantChecker.Invariant.TRUTHFUL, withoutObservation(InvariantChecker.InForce.class, 1)),
                Arguments.of(
                        InvariantChecker.Invariant.TRUTHFUL,
                        withObservations(
                                new InvariantChecker.NodeStarted(atUs, 0, "n0 again"),
                                new InvariantChecker.InForce(atUs, 0, "n0 again", 0, Map.of()),
                                new InvariantChecker.ReportReceived(atUs, "k1", "n0 again"),
                                new InvariantChecker.CountedInForce(atUs + 1, 0, 1, List.of("k0", "k1")))),
                Arguments.of(
                        InvariantChecker.Invariant.TRUTHFUL,
                        withObservations(
                                new InvariantChecker.NodeStopped(atUs, 0, "n0"),
                                new InvariantChecker.CountedInForce(26_004_200, 0, 1, List.of("k0")))),
                Arguments.of(
                        InvariantChecker.Invariant.TRUTHFUL, withoutObservation(InvariantChecker.ReportSent.class, 0)),
                Arguments.of(
                        InvariantChecker.Invariant.DURABLE, withoutObservation(InvariantChecker.Persisted.class, 0)),
                Arguments.of(
                        InvariantChecker.Invariant.DURABLE,
                        Stream.of(validHistory())
                                .peek(all -> all.set(4, new InvariantChecker.Persisted(1_000, 1, 1, "x")))
                                .findFirst()
                                .orElseThrow()),
                Arguments.of(
                        InvariantChecker.Invariant.DURABLE,
                        Stream.of(validHistory())
                                .peek(all -> all.set(4, new InvariantChecker.Persisted(1_000, 0, 1, "y")))
                                .findFirst()
                                .orElseThrow()),
                Arguments.of(
                        InvariantChecker.Invariant.RATE_LIMITED,
                        withObservations(
                                new InvariantChecker.BytesSent(atUs, "n0", 8_000),
                                new InvariantChecker.BytesSent(atUs + 1_000_000, "n0", 8_000),
                                new InvariantChecker.BytesSent(atUs + 1_900_000, "n0", 400))),
                Arguments.of(
                        InvariantChecker.Invariant.VALID,
                        withObservations(new InvariantChecker.Known(atUs, "k0", 2, "z", Map.of("realms/a", "-1")))),
                Arguments.of(
                        InvariantChecker.Invariant.VALID,
                        withObservations(new InvariantChecker.RejectionReported(atUs, 0, 1, ""))),
                Arguments.of(
                        InvariantChecker.Invariant.VALID,
                        withObservations(new InvariantChecker.RejectionReported(atUs, 0, 1, "realms/b"))));
    }

    @ParameterizedTest
    @MethodSource("invalidHistories")
    void violatedInvariantIsReported(InvariantChecker.Invariant invariant, List<InvariantChecker.Observation> history) {
        List<InvariantChecker.Violation> violations = violationsOf(history);
        assertEquals(invariant, violations.get(0).invariant(), () -> violations.toString());
    }

    /** The checker uses no record and no state machine of the code that it checks. */
    @Test
    void checkerDoesNotDependOnCheckedCode() {
        JavaClasses classes = new ClassFileImporter().importPackages("kitemux.rollout");
        List<String> dependencies = classes.stream()
                .filter(c -> c.getName().startsWith(InvariantChecker.class.getName()))
                .flatMap(c -> c.getDirectDependenciesFromSelf().stream())
                .map(d -> d.getTargetClass().getBaseComponentType().getName())
                .filter(name -> name.startsWith("kitemux.") && !name.startsWith(InvariantChecker.class.getName()))
                .toList();
        assertEquals(List.of(), dependencies);
    }
}
