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
    private final int self;
    private final History history;
    private final Rules rules;
    private final Consumer<Version> onChosen;
    private final SplittableRandom random;
    private final ArrayDeque<QueuedChange> queue = new ArrayDeque<>();
    private State state = State.IDLE;
    private Proposal proposal;
    private long rev;
    private Ballot ballot = Ballot.NONE;
    private long phaseDeadlineUs = Long.MAX_VALUE;
    /** Who has promised, while PREPARING; who has accepted, while ACCEPTING. */
    private final Set<Integer> agreedKeepers = new HashSet<>();
    /** Of what was accepted before, by those who promised, that of the highest ballot. */
    private Ballot highestAcceptedBallot;
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

    private record QueuedChange(long callId, Change change) {}

    /** What is under way; own is null where another's change is finished. */
    private static final class Proposal {
        final QueuedChange queued;
        final long startedAtUs;
        int ballotCount;
        /** Whether the own change may have been accepted by somebody, in the version that is open. */
        boolean mayHaveBeenAccepted;

        Proposal(QueuedChange queued, long startedAtUs) {
            this.queued = queued;
            this.startedAtUs = startedAtUs;
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
            ProtocolParameters terms, int self, History history, Rules rules, long seed, Consumer<Version> onChosen) {
        this.terms = terms;
        this.self = self;
        this.history = history;
        this.rules = rules;
        this.random = new SplittableRandom(seed);
        this.onChosen = onChosen;
    }

    /** Its state, whole but for times and draws: two that say the same go on alike. */
    @Override
    public String toString() {
        return state + " " + rev + " " + ballot + " " + agreedKeepers + " " + highestAcceptedBallot + " "
                + (value == null ? "" : value.id()) + " " + highestRound + " " + queue.size()
                + (isIdle()
                        ? ""
                        : (proposal.queued == null ? "" : proposal.queued.change.id()) + " "
                                + proposal.mayHaveBeenAccepted + " " + proposal.ballotCount);
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
        return isIdle() ? Long.MAX_VALUE : phaseDeadlineUs;
    }

    /** An operator's change; concluded by {@link Effect.Conclude}, once. */
    public void propose(long nowUs, long call, Change change, List<Effect> out) {
        if (queue.size() >= ProtocolParameters.MAX_QUEUED_CHANGE_COUNT) {
            rejectedChanges++;
            out.add(new Effect.CompleteChange(
                    call, new Outcome.Unavailable(ProtocolParameters.MAX_QUEUED_CHANGE_COUNT + " changes wait")));
            return;
        }
        queue.add(new QueuedChange(call, change));
        startNext(nowUs, out);
    }

    /** Something was accepted for the open version, and nobody said that it was chosen: it is finished. */
    public void recoverAccepted(long nowUs, List<Effect> out) {
        if (isIdle()) {
            proposal = new Proposal(null, nowUs);
            prepare(nowUs, out);
        }
    }

    private void startNext(long nowUs, List<Effect> out) {
        while (isIdle() && !queue.isEmpty()) {
            proposal = new Proposal(queue.poll(), nowUs);
            validate(nowUs, out);
        }
    }

    /** CHECKING: against what is known now; the version in which it may have been accepted is decided. */
    private void validate(long nowUs, List<Effect> out) {
        if (proposal.queued == null) {
            complete(null, out);
            return;
        }
        if (proposal.mayHaveBeenAccepted && !history.covers(rev - 1)) {
            // It was told the whole, in which no version has a name any more.
            complete(new Outcome.Unknown(), out);
            return;
        }
        proposal.mayHaveBeenAccepted = false;
        Outcome rejection = history.validate(proposal.queued.change, rules);
        if (rejection != null) {
            complete(rejection, out);
        } else {
            prepare(nowUs, out);
        }
    }

    private void complete(Outcome outcome, List<Effect> out) {
        state = State.IDLE;
        if (proposal.queued != null) {
            out.add(new Effect.CompleteChange(proposal.queued.callId, outcome));
        }
    }

    private void prepare(long nowUs, List<Effect> out) {
        if (proposal.ballotCount >= terms.maxBallots() || nowUs - proposal.startedAtUs >= terms.proposalTimeoutUs()) {
            complete(
                    proposal.mayHaveBeenAccepted
                            ? new Outcome.Unknown()
                            : new Outcome.Unavailable("no majority of the voters agreed in time"),
                    out);
            return;
        }
        proposal.ballotCount++;
        ballot = new Ballot(++highestRound, self);
        rev = history.rev() + 1;
        highestAcceptedBallot = Ballot.NONE;
        value = null;
        startPhase(State.PREPARING, nowUs, new Request.Prepare(rev, ballot), out);
    }

    private void startPhase(State phase, long nowUs, Request asked, List<Effect> out) {
        state = phase;
        agreedKeepers.clear();
        phaseDeadlineUs = nowUs + random.nextLong(terms.minPhaseTimeoutUs(), terms.maxPhaseTimeoutUs());
        history.voters().forEach(voter -> out.add(new Effect.Send(voter.keeper(), asked)));
    }

    private boolean isMajority() {
        return agreedKeepers.size() > history.voters().size() / 2;
    }

    /** An answer to what it sent; what is of another version or ballot is let pass. */
    public void handleResponse(long nowUs, int from, Response received, List<Effect> out) {
        if (history.voters().stream().noneMatch(voter -> voter.keeper() == from)) {
            return;
        }
        if (received instanceof Response.Promised response
                && isCurrent(State.PREPARING, response.rev(), response.ballot())) {
            onPromised(nowUs, from, response, out);
        } else if (received instanceof Response.Accepted response
                && isCurrent(State.ACCEPTING, response.rev(), response.ballot())) {
            onAccepted(nowUs, from, out);
        } else if (received instanceof Response.Rejected response) {
            highestRound = Math.max(highestRound, response.promised().round());
            if (isCurrent(state, response.rev(), response.ballot())) {
                // Not at once, and the longer the more often it was tried: two that hinder each other would
                // spend their tries within milliseconds. Until then the others may still agree.
                phaseDeadlineUs = Math.min(
                        phaseDeadlineUs,
                        nowUs
                                + terms.minBackoffUs()
                                + random.nextLong(proposal.ballotCount * terms.minPhaseTimeoutUs() / 2));
            }
        }
        startNext(nowUs, out);
    }

    private boolean isCurrent(State in, long ofRev, Ballot of) {
        return !isIdle() && state == in && ofRev == rev && of.equals(ballot);
    }

    private void onPromised(long nowUs, int from, Response.Promised response, List<Effect> out) {
        agreedKeepers.add(from);
        if (response.accepted() != null && response.acceptedBallot().isGreaterThan(highestAcceptedBallot)) {
            highestAcceptedBallot = response.acceptedBallot();
            value = response.accepted();
        }
        if (!isMajority()) {
            return;
        }
        if (value == null && proposal.queued == null) {
            complete(null, out);
            return;
        }
        value = value == null ? proposal.queued.change : value;
        proposal.mayHaveBeenAccepted |= proposal.queued != null && value.equals(proposal.queued.change);
        startPhase(State.ACCEPTING, nowUs, new Request.Accept(rev, ballot, value), out);
    }

    private void onAccepted(long nowUs, int from, List<Effect> out) {
        agreedKeepers.add(from);
        if (isMajority()) {
            onChosen.accept(new Version(rev, value));
            // Its own is known by its id now. After another's its own follows in the next version, and it was
            // not for want of a majority that its tries went.
            proposal.ballotCount = 0;
            validate(nowUs, out);
        }
    }

    /** The history has gone on, by another's word: what is under way is checked anew. */
    public void historyAdvanced(long nowUs, List<Effect> out) {
        if (!isIdle() && rev <= history.rev()) {
            validate(nowUs, out);
        }
        startNext(nowUs, out);
    }

    /** Time has passed. */
    public void tick(long nowUs, List<Effect> out) {
        if (nowUs >= nextAtUs()) {
            prepare(nowUs, out);
        }
        startNext(nowUs, out);
    }
}
