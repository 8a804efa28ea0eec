package kitemux.fleet;

import kitemux.engine.RequestInfo;
import kitemux.engine.ResponseSink;

/** One try of a client's request at one node: the engine's view of the request and the receiver of its answer. */
public final class ClientTry implements RequestInfo, ResponseSink<Boolean> {
    private final ClientRequest request;
    private final RuleChecker.TrackedTry tracked;
    private final long leftUs;
    private final FleetNode node;
    private final boolean isRetry;
    private boolean isOver;

    /** A client's request, which may take several tries. */
    interface ClientRequest {
        /** Returns the sequential number of the request, from 1; all its tries share it. */
        long number();

        int classIndex();

        int tenant();

        /** Returns the request's work on a core of speed 1, in microseconds. */
        double workUs();

        /**
         * Reports how a try ended; called once, when its node answers or its connection breaks.
         *
         * @param retryAfterUs delay advised by a refusal, in microseconds; 0 for other outcomes
         */
        void tryCompleted(ClientTry clientTry, Outcome outcome, long retryAfterUs);
    }

    /** The outcome of a try. */
    enum Outcome {
        SERVED,
        REFUSED,
        FAILED,
        BROKEN
    }

    ClientTry(ClientRequest request, RuleChecker.TrackedTry tracked, long leftUs, FleetNode node, boolean isRetry) {
        this.request = request;
        this.tracked = tracked;
        this.leftUs = leftUs;
        this.node = node;
        this.isRetry = isRetry;
    }

    /** Returns the rule checker's record of this try. */
    RuleChecker.TrackedTry tracked() {
        return tracked;
    }

    /** Returns the node that the try was sent to. */
    FleetNode node() {
        return node;
    }

    /** Returns the request's actual work on a core of speed 1, in microseconds. Nodes do not know it. */
    public double actualWorkUs() {
        return request.workUs();
    }

    /** Returns the number of the client's request; all tries of one request share it. */
    public long requestNumber() {
        return request.number();
    }

    /** Returns whether the try has ended for its client. */
    public boolean isOver() {
        return isOver;
    }

    /** Ends the try because its client no longer waits. */
    void abandon() {
        isOver = true;
    }

    /** Ends the try, unless it has ended already. */
    private void complete(Outcome outcome, long retryAfterUs) {
        if (!isOver) {
            isOver = true;
            node.completed(this);
            request.tryCompleted(this, outcome, retryAfterUs);
        }
    }

    @Override
    public void onServed(Boolean answer) {
        complete(Outcome.SERVED, 0);
    }

    @Override
    public void onRefused(long retryAfterUs) {
        complete(Outcome.REFUSED, retryAfterUs);
    }

    @Override
    public void onFailed() {
        complete(Outcome.FAILED, 0);
    }

    @Override
    public void onInternalError() {
        complete(Outcome.BROKEN, 0);
    }

    @Override
    public String txn() {
        return Long.toString(tracked.number);
    }

    @Override
    public int classIndex() {
        return request.classIndex();
    }

    @Override
    public int tenant() {
        return request.tenant();
    }

    @Override
    public long remainingUs() {
        return leftUs;
    }

    @Override
    public boolean isRetry() {
        return isRetry;
    }
}
