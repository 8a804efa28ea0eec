package kitemux.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What the soak's judge finds, and what it lets pass. */
class SoakJudgeTest {
    private static final long SENT_US = 10_000_000;
    private static final long TIME_US = 400_000;

    private static Request request(int of, Request.Outcome outcome, long endedAfterUs) {
        return new Request("t", of, SENT_US, TIME_US, true, outcome, SENT_US + endedAfterUs);
    }

    private static SoakServer.Arrival arrival(long afterUs, long remainingUs) {
        return new SoakServer.Arrival("t", SENT_US + afterUs, remainingUs);
    }

    private static String found(
            Request request,
            List<SoakServer.Arrival> arrivals,
            List<String> traces,
            List<SoakVerifier.UnannouncedKill> killed) {
        List<SoakVerifier.Violation> found = SoakVerifier.verify(List.of(request), arrivals, traces, killed);
        return found.isEmpty() ? "nothing" : found.get(0).rule();
    }

    @Test
    void aRequestThatEndsBrokenIsLostWhereItWasRead() {
        Request broken = request(0, Request.Outcome.BROKEN, 100_000);
        assertEquals("nothing", found(broken, List.of(), List.of(), List.of()), "at no server, in no trace");
        assertEquals("lost", found(broken, List.of(arrival(1_000, TIME_US)), List.of(), List.of()));
        assertEquals("lost", found(broken, List.of(), List.of("10001000 request t taken, 400000 us left"), List.of()));
        assertEquals("lost", found(request(0, Request.Outcome.SILENT, 900_000), List.of(), List.of(), List.of()));
    }

    @Test
    void whatAKillWithNoSignalBeforeFindsIsLeftToTheClient() {
        Request broken = request(0, Request.Outcome.BROKEN, 100_000);
        List<SoakServer.Arrival> read = List.of(arrival(1_000, TIME_US));
        assertEquals(
                "nothing", found(broken, read, List.of(), List.of(new SoakVerifier.UnannouncedKill(SENT_US + 99_000))));
        assertEquals("lost", found(broken, read, List.of(), List.of(new SoakVerifier.UnannouncedKill(SENT_US - 1))));
    }

    @Test
    void anUnsafeRequestIsNotToComeTwice() {
        List<SoakServer.Arrival> twice = List.of(arrival(1_000, 300_000), arrival(50_000, 300_000));
        assertEquals("nothing", found(request(0, Request.Outcome.SERVED, 100_000), twice, List.of(), List.of()));
        assertEquals(
                "run twice",
                found(
                        request(Request.UNSAFE_CLASS_INDEX, Request.Outcome.SERVED, 100_000),
                        twice,
                        List.of(),
                        List.of()));
    }

    @Test
    void aServerIsToldAtMostWhatIsLeftAndTheSlack() {
        Request served = request(0, Request.Outcome.SERVED, 300_000);
        assertEquals("nothing", found(served, List.of(arrival(200_000, 350_000)), List.of(), List.of()));
        assertEquals("deadline told too long", found(served, List.of(arrival(200_000, 350_001)), List.of(), List.of()));
    }

    @Test
    void noAttemptBeginsATenthOfASecondAfterTheClientHasGone() {
        Request left = request(0, Request.Outcome.LEFT, 100_000);
        assertEquals(
                "nothing",
                found(left, List.of(), List.of("10200000 request t attempt 1 to s0, 100000 us left"), List.of()));
        assertEquals(
                "sent on after its client had left",
                found(left, List.of(), List.of("10200001 request t attempt 1 to s0, 100000 us left"), List.of()));
        assertEquals(
                "nothing",
                found(left, List.of(), List.of("10200001 request t attempt 1 ended CANCELLED"), List.of()),
                "an end is no beginning");
    }
}
