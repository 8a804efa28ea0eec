package kitemux.rollout;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Has changes decided, one at a time, by ballots among the voters. What is chosen is told to {@code chosen},
 * which takes it into the history before it returns.
 */
public final class Proposer {
    private final ProtocolParameters terms;
    private final int me;
    private final History history;
    private final Rules rules;
    private final Consumer<Version> chosen;
    private final SplittableRandom draws;
    private final ArrayDeque<Call> waiting = new ArrayDeque<>();
    private State state = State.IDLE;
    private Attempt attempt;
    private long rev;
    private Ballot ballot = Ballot.NONE;
    private long untilUs = Long.MAX_VALUE;
    /** Who has promised, while PREPARING; who has accepted, while ACCEPTING. */
    private final Set<Integer> agreed = new HashSet<>();
    /** Of what was accepted before, by those who promised, that of the highest ballot. */
    private Ballot highest;
    /** What is to be accepted, or null while that is not known. */
    private Change value;

    private long highestRound;
    private long rejectedChanges;

    /** CHECKING of the design is no state: it takes no time. */
    private enum State {
        IDLE,
        PREPARING,
        ACCEPTING
    }

    private record Call(long call, Change change) {}

    /** What is under way; own is null where another's change is finished. */
    private static final class Attempt {
        final Call own;
        final long beganUs;
        int tries;
        /** Whether the own change may have been accepted by somebody, in the version that is open. */
        boolean ownSent;

        Attempt(Call own, long beganUs) {
            this.own = own;
            this.beganUs = beganUs;
        }
    }

    /**
     * Nothing is proposed yet.
     *
     * @param me this keeper's number
     * @param seed of what it draws: the lengths of its phases
     * @param chosen is told each version that it had chosen
     */
    public Proposer(
            ProtocolParameters terms, int me, History history, Rules rules, long seed, Consumer<Version> chosen) {
        this.terms = terms;
        this.me = me;
        this.history = history;
        this.rules = rules;
        this.draws = new SplittableRandom(seed);
        this.chosen = chosen;
    }

    /** Its state, whole but for times and draws: two that say the same go on alike. */
    @Override
    public String toString() {
        return state + " " + rev + " " + ballot + " " + agreed + " " + highest + " "
                + (value == null ? "" : value.id()) + " " + highestRound + " " + waiting.size()
                + (isIdle()
                        ? ""
                        : (attempt.own == null ? "" : attempt.own.change.id()) + " " + attempt.ownSent + " "
                                + attempt.tries);
    }

    /** Whether nothing is under way. */
    public boolean isIdle() {
        return state == State.IDLE;
    }

    /** Calls that were refused since too many waited. */
    public long rejectedChanges() {
        return rejectedChanges;
    }

    /** When {@link #tick} is to be called, in microseconds; the clock's end while idle. */
    public long nextAtUs() {
        return isIdle() ? Long.MAX_VALUE : untilUs;
    }

    /** An operator's change; concluded by {@link Effect.Conclude}, once. */
    public void propose(long nowUs, long call, Change change, List<Effect> out) {
        if (waiting.size() >= ProtocolParameters.MAX_QUEUED_CHANGE_COUNT) {
            rejectedChanges++;
            out.add(new Effect.CompleteChange(
                    call, new Outcome.Unavailable(ProtocolParameters.MAX_QUEUED_CHANGE_COUNT + " changes wait")));
            return;
        }
        waiting.add(new Call(call, change));
        next(nowUs, out);
    }

    /** Something was accepted for the open version, and nobody said that it was chosen: it is finished. */
    public void recoverAccepted(long nowUs, List<Effect> out) {
        if (isIdle()) {
            attempt = new Attempt(null, nowUs);
            prepare(nowUs, out);
        }
    }

    private void next(long nowUs, List<Effect> out) {
        while (isIdle() && !waiting.isEmpty()) {
            attempt = new Attempt(waiting.poll(), nowUs);
            check(nowUs, out);
        }
    }

    /** CHECKING: against what is known now; the version in which it may have been accepted is decided. */
    private void check(long nowUs, List<Effect> out) {
        if (attempt.own == null) {
            end(null, out);
            return;
        }
        if (attempt.ownSent && !history.covers(rev - 1)) {
            // It was told the whole, in which no version has a name any more.
            end(new Outcome.Unknown(), out);
            return;
        }
        attempt.ownSent = false;
        Outcome against = history.validate(attempt.own.change, rules);
        if (against != null) {
            end(against, out);
        } else {
            prepare(nowUs, out);
        }
    }

    private void end(Outcome outcome, List<Effect> out) {
        state = State.IDLE;
        if (attempt.own != null) {
            out.add(new Effect.CompleteChange(attempt.own.call, outcome));
        }
    }

    private void prepare(long nowUs, List<Effect> out) {
        if (attempt.tries >= terms.maxBallots() || nowUs - attempt.beganUs >= terms.proposalTimeoutUs()) {
            end(
                    attempt.ownSent
                            ? new Outcome.Unknown()
                            : new Outcome.Unavailable("no majority of the voters agreed in time"),
                    out);
            return;
        }
        attempt.tries++;
        ballot = new Ballot(++highestRound, me);
        rev = history.rev() + 1;
        highest = Ballot.NONE;
        value = null;
        begin(State.PREPARING, nowUs, new Request.Prepare(rev, ballot), out);
    }

    private void begin(State phase, long nowUs, Request asked, List<Effect> out) {
        state = phase;
        agreed.clear();
        untilUs = nowUs + draws.nextLong(terms.minPhaseTimeoutUs(), terms.maxPhaseTimeoutUs());
        history.voters().forEach(voter -> out.add(new Effect.Send(voter.keeper(), asked)));
    }

    private boolean isMajority() {
        return agreed.size() > history.voters().size() / 2;
    }

    /** An answer to what it sent; what is of another version or ballot is let pass. */
    public void handleResponse(long nowUs, int from, Response answer, List<Effect> out) {
        if (history.voters().stream().noneMatch(voter -> voter.keeper() == from)) {
            return;
        }
        if (answer instanceof Response.Promised a && isMine(State.PREPARING, a.rev(), a.ballot())) {
            promised(nowUs, from, a, out);
        } else if (answer instanceof Response.Accepted a && isMine(State.ACCEPTING, a.rev(), a.ballot())) {
            accepted(nowUs, from, out);
        } else if (answer instanceof Response.Rejected a) {
            highestRound = Math.max(highestRound, a.promised().round());
            if (isMine(state, a.rev(), a.ballot())) {
                // Not at once, and the longer the more often it was tried: two that hinder each other would
                // spend their tries within milliseconds. Until then the others may still agree.
                untilUs = Math.min(
                        untilUs,
                        nowUs + terms.minBackoffUs() + draws.nextLong(attempt.tries * terms.minPhaseTimeoutUs() / 2));
            }
        }
        next(nowUs, out);
    }

    private boolean isMine(State in, long ofRev, Ballot of) {
        return !isIdle() && state == in && ofRev == rev && of.equals(ballot);
    }

    private void promised(long nowUs, int from, Response.Promised a, List<Effect> out) {
        agreed.add(from);
        if (a.accepted() != null && a.acceptedBallot().isGreaterThan(highest)) {
            highest = a.acceptedBallot();
            value = a.accepted();
        }
        if (!isMajority()) {
            return;
        }
        if (value == null && attempt.own == null) {
            end(null, out);
            return;
        }
        value = value == null ? attempt.own.change : value;
        attempt.ownSent |= attempt.own != null && value.equals(attempt.own.change);
        begin(State.ACCEPTING, nowUs, new Request.Accept(rev, ballot, value), out);
    }

    private void accepted(long nowUs, int from, List<Effect> out) {
        agreed.add(from);
        if (isMajority()) {
            chosen.accept(new Version(rev, value));
            // Its own is known by its id now. After another's its own follows in the next version, and it was
            // not for want of a majority that its tries went.
            attempt.tries = 0;
            check(nowUs, out);
        }
    }

    /** The history has gone on, by another's word: what is under way is checked anew. */
    public void historyAdvanced(long nowUs, List<Effect> out) {
        if (!isIdle() && rev <= history.rev()) {
            check(nowUs, out);
        }
        next(nowUs, out);
    }

    /** Time has passed. */
    public void tick(long nowUs, List<Effect> out) {
        if (nowUs >= nextAtUs()) {
            prepare(nowUs, out);
        }
        next(nowUs, out);
    }
}
