package kitemux.fleet;

import kitemux.engine.RequestInfo;
import kitemux.engine.ResponseSink;

/** One try of a client's request at one node: what the engine is asked, and who is told the answer. */
public final class Try implements RequestInfo, ResponseSink<Boolean> {
    private final Intention of;
    private final Rules.Asked asked;
    private final long leftUs;
    private final FleetNode at;
    private final boolean again;
    private boolean over;

    /** What a client wants, over all its tries. */
    interface Intention {
        /** Counts what clients want, over all tries, from 1. */
        long number();

        int classIndex();

        int tenant();

        /** Its work on a core of speed 1, in microseconds. */
        double workUs();

        /** How a try has ended: told once, as its node says so or its connection breaks. */
        void ended(Try which, End how, long retryAfterUs);
    }

    /** How a try ends. */
    enum End {
        SERVED,
        REFUSED,
        FAILED,
        BROKEN
    }

    Try(Intention of, Rules.Asked asked, long leftUs, FleetNode at, boolean again) {
        this.of = of;
        this.asked = asked;
        this.leftUs = leftUs;
        this.at = at;
        this.again = again;
    }

    Rules.Asked asked() {
        return asked;
    }

    FleetNode at() {
        return at;
    }

    /** Its work on a core of speed 1, in microseconds; no node knows it. */
    public double trueWorkUs() {
        return of.workUs();
    }

    /** Counts what clients want: all tries for one thing have its number. */
    public long wish() {
        return of.number();
    }

    /** Whether it has ended for its client. */
    public boolean isOver() {
        return over;
    }

    /** Its client waits no more. */
    void giveUp() {
        over = true;
    }

    private void end(End how, long retryAfterUs) {
        if (!over) {
            over = true;
            at.answered(this);
            of.ended(this, how, retryAfterUs);
        }
    }

    @Override
    public void onServed(Boolean answer) {
        end(End.SERVED, 0);
    }

    @Override
    public void onRefused(long retryAfterUs) {
        end(End.REFUSED, retryAfterUs);
    }

    @Override
    public void onFailed() {
        end(End.FAILED, 0);
    }

    @Override
    public void onInternalError() {
        end(End.BROKEN, 0);
    }

    @Override
    public String txn() {
        return Long.toString(asked.number);
    }

    @Override
    public int classIndex() {
        return of.classIndex();
    }

    @Override
    public int tenant() {
        return of.tenant();
    }

    @Override
    public long remainingUs() {
        return leftUs;
    }

    @Override
    public boolean isRetry() {
        return again;
    }
}
