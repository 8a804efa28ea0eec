package kitemux.orders;

import java.util.ArrayList;
import java.util.List;
import kitemux.orders.Entry.Answer;
import kitemux.orders.Entry.Answered;
import kitemux.orders.Entry.Ended;
import kitemux.orders.Entry.Intent;
import kitemux.orders.Entry.LeftOpen;
import kitemux.orders.Entry.Result;
import kitemux.orders.Entry.Accepted;

/** What a journal knows of one request, and what may be said of it honestly. */
public final class OrderHistory {
    /** What can be said of a request. */
    public enum State {
        /** Nothing was ever written to a server. */
        NEVER_SENT,
        /** Refused: no server ran it. */
        REFUSED,
        /** A server answered. */
        ANSWERED,
        /** It was sent, and what became of it is not known. */
        UNKNOWN,
        /** The node still has it. */
        UNDER_WAY
    }

    /** One attempt: what was meant, and how it ended, or null. */
    public record Attempt(Intent intent, Ended ended) {
        /** Whether a server may have run it. */
        boolean mayHaveRun() {
            return ended == null || ended.mayHaveRun();
        }

        /** Whether the server said what became of it. */
        boolean isAnswered() {
            return ended != null && (ended.result() == Result.OK || ended.result() == Result.ERROR);
        }
    }

    private final Accepted accepted;
    private final List<Attempt> attempts = new ArrayList<>();
    private Answered answered;
    private LeftOpen leftOpen;

    /** Begins with its being taken. */
    public OrderHistory(Accepted taken) {
        this.accepted = taken;
    }

    /** Goes on with an entry of the same number; one that fits nothing is passed over. */
    public void add(Entry entry) {
        if (entry instanceof Intent intent) {
            attempts.add(new Attempt(intent, null));
        } else if (entry instanceof Ended ended) {
            attempts.replaceAll(
                    a -> a.ended == null && a.intent.attempt() == ended.attempt() ? new Attempt(a.intent, ended) : a);
        } else if (entry instanceof Answered said && answered == null) {
            answered = said;
        } else if (entry instanceof LeftOpen left) {
            leftOpen = left;
        }
    }

    /** Whether nothing more will be said of it. */
    public boolean isComplete() {
        return leftOpen != null || answered != null && attempts.stream().allMatch(a -> a.ended != null);
    }

    /** How it was taken. */
    public Accepted accepted() {
        return accepted;
    }

    /** Its attempts in their order. */
    public List<Attempt> attempts() {
        return List.copyOf(attempts);
    }

    /** What the client was told, or null. */
    public Answered answered() {
        return answered;
    }

    /** The attempt that tells most: one that a server answered, else one that may have run; else null. */
    public Attempt decisiveAttempt() {
        Attempt found = null;
        for (Attempt attempt : attempts) {
            if (attempt.isAnswered() && attempt.ended.result() == Result.OK) {
                return attempt;
            }
            if (attempt.isAnswered() || found == null && attempt.mayHaveRun()) {
                found = attempt;
            }
        }
        return found;
    }

    /**
     * What can be said of it.
     *
     * @param live whether the node that took it is still at work
     */
    public State state(boolean live) {
        Attempt telling = decisiveAttempt();
        if (telling != null && telling.isAnswered()) {
            return State.ANSWERED;
        }
        if (live && !isComplete() && answered == null) {
            return State.UNDER_WAY;
        }
        if (telling != null) {
            return State.UNKNOWN;
        }
        return answered != null && answered.answer() == Answer.REFUSED ? State.REFUSED : State.NEVER_SENT;
    }
}
