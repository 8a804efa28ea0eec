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
 * The judge over toy histories, without any of the code that it judges: what is sound passes, each breach is
 * named.
 */
class JudgeTest {
    private static final Map<String, String> ONE = Map.of("realms/a", "1");
    private static final Map<String, String> TWO = Map.of("realms/a", "2");

    private static List<Judge.Breach> judged(List<Judge.Seen> history) {
        Judge judge = new Judge(
                Map.of(0L, Map.of()),
                values -> !values.getOrDefault("realms/a", "0").startsWith("-"),
                (node, values) -> true);
        history.forEach(judge::see);
        return judge.breaches();
    }

    /** A node and a keeper, a version that is chosen, answered and in force. */
    private static List<Judge.Seen> sound() {
        return new ArrayList<>(List.of(
                new Judge.Began(0, 0, "n0"),
                new Judge.InForce(0, 0, "n0", 0, Map.of()),
                new Judge.Reach(0, 0, true, 0),
                new Judge.Known(0, "k0", 0, "", Map.of()),
                new Judge.OnDisk(1_000, 0, 1, "x"),
                new Judge.OnDisk(1_000, 1, 1, "x"),
                new Judge.OnDisk(1_000, 3, 1, "x"),
                new Judge.Known(2_000, "k0", 1, "x", ONE),
                new Judge.Answered(2_000, "x", 1),
                new Judge.Spoke(3_000, "n0", 1),
                new Judge.Sent(3_000, "n0", 8_000),
                new Judge.InForce(4_000, 0, "n0", 1, ONE),
                new Judge.Reported(4_200, 0),
                new Judge.Heard(4_500, "k0", "n0"),
                new Judge.Counted(5_000, 0, 1, List.of("k0")),
                new Judge.Sent(1_000_000, "n0", 8_000),
                new Judge.Passed(4_100_000)));
    }

    private static List<Judge.Seen> with(Judge.Seen... more) {
        List<Judge.Seen> all = sound();
        all.addAll(List.of(more));
        return all;
    }

    private static List<Judge.Seen> without(Class<? extends Judge.Seen> kind, int which) {
        List<Judge.Seen> all = sound();
        all.remove(all.stream().filter(kind::isInstance).toList().get(which));
        return all;
    }

    @Test
    void aSoundHistoryBreaksNothing() {
        assertEquals(List.of(), judged(sound()));
    }

    @Test
    void whatNobodyWhoWasAskedHasHeardIsNotHeldAgainstThem() {
        assertEquals(
                List.of(),
                judged(with(
                        new Judge.Began(5_000_000, 0, "n0 again"),
                        new Judge.InForce(5_000_000, 0, "n0 again", 0, Map.of()),
                        new Judge.Heard(5_000_000, "k1", "n0 again"),
                        new Judge.Counted(5_000_001, 0, 1, List.of("k0")))));
    }

    @Test
    void whoReportedLatelyMayBeCounted() {
        assertEquals(List.of(), judged(with(new Judge.Counted(26_004_199, 0, 1, List.of("k0")))));
    }

    @Test
    void whatHasNoTimeYetOrCannotReachAnyIsNotLate() {
        List<Judge.Seen> early = without(Judge.InForce.class, 1);
        early.removeIf(s -> s instanceof Judge.Counted);
        early.set(early.size() - 1, new Judge.Passed(4_001_000));
        assertEquals(List.of(), judged(early));
        early.set(2, new Judge.Reach(0, 0, false, 0));
        early.set(early.size() - 1, new Judge.Passed(60_000_000));
        assertEquals(List.of(), judged(early));
    }

    static Stream<Arguments> broken() {
        long t = 5_000_000;
        return Stream.of(
                Arguments.of(Judge.Promise.ONE_HISTORY, with(new Judge.Known(t, "k1", 1, "y", TWO))),
                Arguments.of(Judge.Promise.ONE_HISTORY, with(new Judge.InForce(t, 0, "n0", 7, TWO))),
                Arguments.of(Judge.Promise.MONOTONIC, with(new Judge.InForce(t, 0, "n0", 0, Map.of()))),
                Arguments.of(Judge.Promise.MONOTONIC, with(new Judge.Known(t, "k0", 0, "", Map.of()))),
                Arguments.of(Judge.Promise.MONOTONIC, with(new Judge.Spoke(t, "n0", 0))),
                Arguments.of(Judge.Promise.WHOLE, with(new Judge.InForce(t, 0, "n0", 1, TWO))),
                Arguments.of(
                        Judge.Promise.TIMELY,
                        Stream.of(without(Judge.InForce.class, 1))
                                .peek(all -> all.removeIf(s -> s instanceof Judge.Counted))
                                .findFirst()
                                .orElseThrow()),
                Arguments.of(Judge.Promise.TRUTHFUL, without(Judge.InForce.class, 1)),
                Arguments.of(
                        Judge.Promise.TRUTHFUL,
                        with(
                                new Judge.Began(t, 0, "n0 again"),
                                new Judge.InForce(t, 0, "n0 again", 0, Map.of()),
                                new Judge.Heard(t, "k1", "n0 again"),
                                new Judge.Counted(t + 1, 0, 1, List.of("k0", "k1")))),
                Arguments.of(
                        Judge.Promise.TRUTHFUL,
                        with(new Judge.Ended(t, 0, "n0"), new Judge.Counted(26_004_200, 0, 1, List.of("k0")))),
                Arguments.of(Judge.Promise.TRUTHFUL, without(Judge.Reported.class, 0)),
                Arguments.of(Judge.Promise.DURABLE, without(Judge.OnDisk.class, 0)),
                Arguments.of(
                        Judge.Promise.DURABLE,
                        Stream.of(sound())
                                .peek(all -> all.set(4, new Judge.OnDisk(1_000, 1, 1, "x")))
                                .findFirst()
                                .orElseThrow()),
                Arguments.of(
                        Judge.Promise.DURABLE,
                        Stream.of(sound())
                                .peek(all -> all.set(4, new Judge.OnDisk(1_000, 0, 1, "y")))
                                .findFirst()
                                .orElseThrow()),
                Arguments.of(
                        Judge.Promise.PACED,
                        with(
                                new Judge.Sent(t, "n0", 8_000),
                                new Judge.Sent(t + 1_000_000, "n0", 8_000),
                                new Judge.Sent(t + 1_900_000, "n0", 400))),
                Arguments.of(Judge.Promise.SOUND, with(new Judge.Known(t, "k0", 2, "z", Map.of("realms/a", "-1")))),
                Arguments.of(Judge.Promise.SOUND, with(new Judge.Refused(t, 0, 1, ""))),
                Arguments.of(Judge.Promise.SOUND, with(new Judge.Refused(t, 0, 1, "realms/b"))));
    }

    @ParameterizedTest
    @MethodSource("broken")
    void aBreachIsNamed(Judge.Promise promise, List<Judge.Seen> history) {
        List<Judge.Breach> found = judged(history);
        assertEquals(promise, found.get(0).promise(), () -> found.toString());
    }

    /** None of the records and machines that are judged is known to the judge. */
    @Test
    void theJudgeIsBlindToWhatItJudges() {
        JavaClasses judge = new ClassFileImporter().importPackages("kitemux.rollout");
        List<String> known = judge.stream()
                .filter(c -> c.getName().startsWith(Judge.class.getName()))
                .flatMap(c -> c.getDirectDependenciesFromSelf().stream())
                .map(d -> d.getTargetClass().getBaseComponentType().getName())
                .filter(name -> name.startsWith("kitemux.") && !name.startsWith(Judge.class.getName()))
                .toList();
        assertEquals(List.of(), known);
    }
}
