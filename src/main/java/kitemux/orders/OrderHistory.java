package kitemux.orders;

import java.util.ArrayList;
import java.util.List;
import kitemux.orders.Entry.Accepted;
import kitemux.orders.Entry.Answer;
import kitemux.orders.Entry.Answered;
import kitemux.orders.Entry.Ended;
import kitemux.orders.Entry.Intent;
import kitemux.orders.Entry.LeftOpen;
import kitemux.orders.Entry.Result;

/** The journal's entries on one order, and the state of the order that follows from them. */
public final class OrderHistory {
    /** The state of an order, as far as the journal tells. */
    public enum State {
        /** The order was never written to a server. */
        NEVER_SENT,
        /** The order was refused; no server ran it. */
        REFUSED,
        /** A server answered. */
        ANSWERED,
        /** The order was sent, and its outcome is not known. */
        UNKNOWN,
        /** The node is still processing the order. */
        UNDER_WAY
    }

    /**
     * An attempt.
     *
     * @param intent the entry that was written before the attempt was sent
     * @param ended the entry on the attempt's end, or null if there is none
     */
    public record Attempt(Intent intent, Ended ended) {
        /** Returns whether a server may have run the request. */
        boolean mayHaveRun() {
            return ended == null || ended.mayHaveRun();
        }

        /** Returns whether the server answered, with success or an error. */
        boolean isAnswered() {
            return ended != null && (ended.result() == Result.OK || ended.result() == Result.ERROR);
        }
    }

    private final Accepted accepted;
    private final List<Attempt> attempts = new ArrayList<>();
    private Answered answered;
    private LeftOpen leftOpen;

    /** Creates the history of an order that was accepted. */
    public OrderHistory(Accepted accepted) {
        this.accepted = accepted;
    }

    /** Adds an entry with the same number. Entries that do not fit the history are ignored. */
    public void add(Entry entry) {
        if (entry instanceof Intent intent) {
            attempts.add(new Attempt(intent, null));
        } else if (entry instanceof Ended ended) {
            attempts.replaceAll(
                    a -> a.ended == null && a.intent.attempt() == ended.attempt() ? new Attempt(a.intent, ended) : a);
        } else if (entry instanceof Answered answer && answered == null) {
            answered = answer;
        } else if (entry instanceof LeftOpen marker) {
            leftOpen = marker;
        }
    }

    /** Returns whether no further entries can follow. */
    public boolean isComplete() {
        return leftOpen != null || answered != null && attempts.stream().allMatch(a -> a.ended != null);
    }

    /** Returns the entry with which the order was accepted. */
    public Accepted accepted() {
        return accepted;
    }

    /** Returns the attempts in the order in which they were sent. */
    public List<Attempt> attempts() {
        return List.copyOf(attempts);
    }

    /** Returns the entry on the client's answer, or null if there is none. */
    public Answered answered() {
        return answered;
    }

    /**
     * Returns the attempt that determines the state: a served one if there is any, else the last one that a
     * server answered with an error, else the first that may have run, else null.
     */
    public Attempt decisiveAttempt() {
        Attempt best = null;
        for (Attempt attempt : attempts) {
            if (attempt.isAnswered() && attempt.ended.result() == Result.OK) {
                return attempt;
            }
            if (attempt.isAnswered() || best == null && attempt.mayHaveRun()) {
                best = attempt;
            }
        }
        return best;
    }

    /**
     * Returns the state of the order.
     *
     * @param isLive whether the node that writes the journal is running
     */
    public State state(boolean isLive) {
        Attempt decisive = decisiveAttempt();
        if (decisive != null && decisive.isAnswered()) {
            return State.ANSWERED;
        }
        if (isLive && !isComplete() && answered == null) {
            return State.UNDER_WAY;
        }
        if (decisive != null) {
            return State.UNKNOWN;
        }
        return answered != null && answered.answer() == Answer.REFUSED ? State.REFUSED : State.NEVER_SENT;
    }
}
