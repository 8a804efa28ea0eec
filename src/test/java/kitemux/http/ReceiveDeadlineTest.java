package kitemux.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against clients that stop within a request and hold its room for as long as what came earlier allows. */
class ReceiveDeadlineTest {
    private static final long SLOW_BODY_BYTES_PER_S = 64_000;
    private static final long US_PER_MS = 1_000;
    /** What an error may take: 3 s but for the interval of the check and a loop that is held up for 0.15 s. */
    private static final long STOP_US = (3_000 - 200 - 150) * US_PER_MS;

    private static ReceiveDeadline inBody() {
        ReceiveDeadline deadline = new ReceiveDeadline(0);
        deadline.onInput(200, 0);
        deadline.onRequestBegun();
        deadline.onHeadReceived();
        return deadline;
    }

    @Property
    void bodyInLumpsAtLowestRateIsReceived(
            @ForAll @Size(min = 1, max = 200) List<@IntRange(min = 1, max = 2_300) Integer> gapsMs) {
        ReceiveDeadline deadline = inBody();
        long nowUs = 0;
        for (int gapMs : gapsMs) {
            nowUs += gapMs * US_PER_MS;
            assertFalse(deadline.isPast(nowUs));
            deadline.onInput((int) (gapMs * SLOW_BODY_BYTES_PER_S / 1_000), nowUs);
        }
    }

    @Property
    void stopIsNoticedWhateverCameBefore(
            @ForAll @Size(max = 50) List<@IntRange(min = 0, max = 2_400) Integer> gapsMs,
            @ForAll @IntRange(min = 1, max = 8 << 20) int lumpBytes) {
        ReceiveDeadline deadline = inBody();
        long nowUs = 0;
        for (int gapMs : gapsMs) {
            nowUs += gapMs * US_PER_MS;
            deadline.onInput(lumpBytes, nowUs);
        }
        assertTrue(deadline.isPast(nowUs + STOP_US));
    }

    @Property
    void trickleEndsByWhatItHasBrought(
            @ForAll @IntRange(min = 1, max = 2_400) int gapMs, @ForAll @IntRange(min = 1, max = 100) int bytes) {
        ReceiveDeadline deadline = inBody();
        deadline.onInput(8 << 20, 0);
        long rateBytesPerMs = Math.max(1, bytes / gapMs);
        if (rateBytesPerMs >= Limits.MIN_BODY_RATE_BYTES_PER_MS) {
            return;
        }
        long endUs = STOP_US * Limits.MIN_BODY_RATE_BYTES_PER_MS / (Limits.MIN_BODY_RATE_BYTES_PER_MS - rateBytesPerMs);
        long nowUs = 0;
        while (nowUs < endUs * 2) {
            nowUs += gapMs * US_PER_MS;
            deadline.onInput(bytes, nowUs);
        }
        assertTrue(deadline.isPast(nowUs));
    }

    @Property
    void headHasItsTimeInAll(@ForAll @IntRange(min = 1, max = 2_400) int gapMs) {
        ReceiveDeadline deadline = new ReceiveDeadline(0);
        deadline.onInput(1, 0);
        deadline.onRequestBegun();
        long nowUs = 0;
        while (nowUs < 2_000 * US_PER_MS) {
            assertFalse(deadline.isPast(nowUs));
            nowUs += gapMs * US_PER_MS;
            deadline.onInput(1, nowUs);
        }
        while (nowUs <= Limits.REQUEST_READ_TIMEOUT_MS * US_PER_MS) {
            nowUs += gapMs * US_PER_MS;
            deadline.onInput(1, nowUs);
        }
        assertTrue(deadline.isPast(nowUs));
    }

    @Property
    void inputThatNodeLeftUnreadIsNoStop(@ForAll @IntRange(min = 0, max = 60_000) int pausedMs) {
        ReceiveDeadline deadline = inBody();
        long resumedUs = pausedMs * US_PER_MS;
        deadline.restart(resumedUs);
        assertFalse(deadline.isPast(resumedUs + 2_300 * US_PER_MS));
        assertTrue(deadline.isPast(resumedUs + STOP_US));
    }
}
