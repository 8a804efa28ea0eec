package kitemux.fleet;

import kitemux.engine.Asked;
import kitemux.engine.Client;

/** One try of a client's request at one node: what the engine is asked, and who is told the answer. */
public final class ClientTry implements Asked, Client<Boolean> {
    private final ClientRequest of;
    private final RuleChecker.TrackedTry tracked;
    private final long leftUs;
    private final FleetNode node;
    private final boolean again;
    private boolean over;

    /** What a client wants, over all its tries. */
    interface ClientRequest {
        /** Counts what clients want, over all tries, from 1. */
        long number();

        int classIndex();

        int tenant();

        /** Its work on a core of speed 1, in microseconds. */
        double workUs();

        /** How a try has ended: told once, as its node says so or its connection breaks. */
        void ended(ClientTry which, Outcome how, long retryAfterUs);
    }

    /** How a try ends. */
    enum Outcome {
        SERVED,
        REFUSED,
        FAILED,
        BROKEN
    }

    ClientTry(ClientRequest of, RuleChecker.TrackedTry asked, long leftUs, FleetNode at, boolean again) {
        this.of = of;
        this.tracked = asked;
        this.leftUs = leftUs;
        this.node = at;
        this.again = again;
    }

    RuleChecker.TrackedTry tracked() {
        return tracked;
    }

    FleetNode node() {
        return node;
    }

    /** Its work on a core of speed 1, in microseconds; no node knows it. */
    public double actualWorkUs() {
        return of.workUs();
    }

    /** Counts what clients want: all tries for one thing have its number. */
    public long requestNumber() {
        return of.number();
    }

    /** Whether it has ended for its client. */
    public boolean isOver() {
        return over;
    }

    /** Its client waits no more. */
    void abandon() {
        over = true;
    }

    private void end(Outcome how, long retryAfterUs) {
        if (!over) {
            over = true;
            node.completed(this);
            of.ended(this, how, retryAfterUs);
        }
    }

    @Override
    public void served(Boolean answer) {
        end(Outcome.SERVED, 0);
    }

    @Override
    public void refused(long retryAfterUs) {
        end(Outcome.REFUSED, retryAfterUs);
    }

    @Override
    public void failed() {
        end(Outcome.FAILED, 0);
    }

    @Override
    public void broken() {
        end(Outcome.BROKEN, 0);
    }

    @Override
    public String txn() {
        return Long.toString(tracked.number);
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
    public long leftUs() {
        return leftUs;
    }

    @Override
    public boolean retry() {
        return again;
    }
}
