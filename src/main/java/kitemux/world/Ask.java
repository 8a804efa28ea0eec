package kitemux.world;

import java.util.ArrayList;
import java.util.List;
import kitemux.Balancer.RequestClass;

/** One try of a client: what it asked for, and what became of it as clients and servers saw it. */
final class Ask {
    final long number;
    final String txn;
    final RequestClass cls;
    /** Method, path and query. */
    final String what;

    final String idempotencyKey;
    final byte[] body;
    /** Its work on a standard core, in microseconds. */
    final long workUs;

    final long remainingUs;
    /** The bytes as they go to a node. */
    byte[] wire;
    /** Bytes written on its connection up to its last. */
    long offset;
    /** When its last byte was written; -1 before. */
    long sentAt = -1;
    /** Not the first of those written at once, so that its turn came late. */
    boolean behind;
    /** Its client has gone, or its node was ended with it: nothing is owed. */
    boolean over;
    /** When its client left without an answer; -1 if it did not. */
    long leftAt = -1;
    /** The status of its final answer; 0 before. */
    int status;
    /** When the node wrote the last of that, and when it was there. */
    long answerSentAt;

    long answeredAt;
    /** Attempts that came to servers whole, in the order of coming. */
    final List<Run> runs = new ArrayList<>();
    /** Answers that servers made for it. */
    final List<byte[]> made = new ArrayList<>();

    /** An attempt as a server saw it. */
    static final class Run {
        final Box box;
        final End end;
        /** When its first byte was written, and when its last was there. */
        final long sentAt;

        final long arrivedAt;
        boolean turnedAway;
        /** When word of that was at the node's machine; -1 if it was not. */
        long turnedAwayHeardAt = -1;
        /** Whether the last of any answer was at the node's machine. */
        boolean answerHeard;
        /** Whether the box broke its answer off. */
        boolean cut;
        /** Whether the box has begun a long answer and goes on giving it. */
        boolean giving;
        /** When the box stopped amid a long answer, for good; -1 if it did not. */
        long stoppedAt = -1;

        Run(Box box, End end, long sentAt, long arrivedAt) {
            this.box = box;
            this.end = end;
            this.sentAt = sentAt;
            this.arrivedAt = arrivedAt;
        }

        /** Whether a node that knew all that its machine had heard by then must take it for possibly run. */
        boolean mayHaveRun(long at) {
            return !turnedAway || turnedAwayHeardAt < 0 || turnedAwayHeardAt > at;
        }
    }

    Ask(
            long number,
            String txn,
            RequestClass cls,
            String what,
            String idempotencyKey,
            byte[] body,
            long workUs,
            long remainingUs) {
        this.number = number;
        this.txn = txn;
        this.cls = cls;
        this.what = what;
        this.idempotencyKey = idempotencyKey;
        this.body = body;
        this.workUs = workUs;
        this.remainingUs = remainingUs;
    }

    /** The attempt whose long answer goes on, on a connection that no fault broke; null if there is none. */
    Run given() {
        return runs.stream()
                .filter(run -> run.giving && !run.end.cut)
                .findFirst()
                .orElse(null);
    }

    boolean isAnswered() {
        return status != 0;
    }

    @Override
    public String toString() {
        return txn + " (" + cls.name() + ")";
    }
}
