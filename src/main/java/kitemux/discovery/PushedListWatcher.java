package kitemux.discovery;

import java.util.SplittableRandom;
import kitemux.engine.Clock;

/**
 * Keeps a watch open on an agent on the node's own machine that pushes server lists. Only the node itself asks
 * the agent, which costs nobody else anything, so no decision is needed here about when to ask; for lists that
 * are polled, the balancer decides that. The waits between retries grow and are randomized, since the agent may
 * be starting.
 */
public final class PushedListWatcher {
    /** The first wait before a retry; the wait doubles with each failure. */
    private static final long INITIAL_WAIT_US = 50_000;
    /**
     * Updates count as delivered once the agent has them, whether or not a watch is open: this wait and its
     * random part of up to a half are well within what drains allow. Seven refused connections a second cost a
     * machine nothing.
     */
    private static final long MAX_WAIT_US = 150_000;

    private final Clock clock;
    private final Runnable openWatch;
    private final SplittableRandom random;
    private long waitUs = INITIAL_WAIT_US;
    private Clock.Timer retryTimer;
    private boolean isStopped;

    /**
     * Creates a watcher that has not opened a watch yet.
     *
     * @param openWatch opens a watch that replaces an earlier one; its end is reported to {@link #onFailure}
     */
    public PushedListWatcher(Clock clock, Runnable openWatch, long seed) {
        this.clock = clock;
        this.openWatch = openWatch;
        random = new SplittableRandom(seed);
    }

    /** Opens the first watch. */
    public void start() {
        openWatch.run();
    }

    /** Called when the agent sent data, or was replaced by another agent that is already being called. */
    public void onUpdate() {
        waitUs = INITIAL_WAIT_US;
        if (retryTimer != null) {
            retryTimer.cancel();
            retryTimer = null;
        }
    }

    /** Called when the watch ended or could not be opened. */
    public void onFailure() {
        if (isStopped || retryTimer != null) {
            return;
        }
        long delayUs = waitUs / 2 + random.nextLong(waitUs);
        waitUs = Math.min(MAX_WAIT_US, 2 * waitUs);
        retryTimer = clock.schedule(delayUs, () -> {
            retryTimer = null;
            openWatch.run();
        });
    }

    /** Stops the watcher; no further watch is opened. */
    public void stop() {
        isStopped = true;
        if (retryTimer != null) {
            retryTimer.cancel();
            retryTimer = null;
        }
    }
}
