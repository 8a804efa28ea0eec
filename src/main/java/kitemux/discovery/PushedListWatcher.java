package kitemux.discovery;

import java.util.SplittableRandom;
import kitemux.engine.Clock;

/**
 * Keeps a watch open where lists are pushed: the agent on the node's own machine has what it was sent, and
 * nobody
 * asks it but the node. Where lists are asked for, the decision module says when; here nothing is decided, as
 * the agent costs nobody anything. The waits between two tries grow and are drawn, since it may be starting.
 */
public final class PushedListWatcher {
    private static final long FIRST_US = 50_000;
    /** What the agent hears counts as told at once, whether or not a watch is open: half as much more, drawn,
     * is well within what drains allow. Seven calls a second that are refused cost one machine nothing. */
    private static final long MOST_US = 150_000;

    private final Clock time;
    private final Runnable watch;
    private final SplittableRandom random;
    private long waitUs = FIRST_US;
    private Clock.Timer next;
    private boolean ended;

    /**
     * Watches nothing yet.
     *
     * @param watch opens a watch in the place of an earlier one; how it ends is told here
     */
    public PushedListWatcher(Clock time, Runnable watch, long seed) {
        this.time = time;
        this.watch = watch;
        random = new SplittableRandom(seed);
    }

    /** Opens the first watch. */
    public void start() {
        watch.run();
    }

    /** The agent has said something, or another has taken its place and is called by now. */
    public void onUpdate() {
        waitUs = FIRST_US;
        if (next != null) {
            next.cancel();
            next = null;
        }
    }

    /** The watch has ended, or did not come up. */
    public void onFailure() {
        if (ended || next != null) {
            return;
        }
        long us = waitUs / 2 + random.nextLong(waitUs);
        waitUs = Math.min(MOST_US, 2 * waitUs);
        next = time.schedule(us, () -> {
            next = null;
            watch.run();
        });
    }

    /** Opens no more. */
    public void stop() {
        ended = true;
        if (next != null) {
            next.cancel();
            next = null;
        }
    }
}
