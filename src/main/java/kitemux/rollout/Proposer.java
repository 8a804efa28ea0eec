package kitemux.rollout;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A Paxos proposer: gets changes chosen one at a time by ballots among the voters. Each chosen version is
 * passed to a callback, which must append it to the history before it returns.
 */
public final class Proposer {
    private final ProtocolParameters parameters;
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
    /** Keepers that have promised while PREPARING, or accepted while ACCEPTING. */
    private final Set<Integer> agreedKeepers = new HashSet<>();
    /** The highest ballot of the values that the promises report as accepted. */
    private Ballot highestAcceptedBallot;
    /** The value to be accepted, or null while it is not known. */
    private Change value;

    private long highestRound;
    private long rejectedChanges;

    /** The phase of the proposal. Validation needs no state of its own, as it takes no time. */
    private enum State {
        /** No proposal is in progress. */
        IDLE,
        /** Promises are being collected. */
        PREPARING,
        /** Acceptances of a value are being collected. */
        ACCEPTING
    }

    private record QueuedChange(long callId, Change change) {}

    /**
     * The proposal in progress. {@code queued} is null if it completes a value that another keeper
     * proposed.
     */
    private static final class Proposal {
        final QueuedChange queued;
        final long startedAtUs;
        int ballotCount;
        /** Whether a voter may have accepted the queued change for the open version. */
        boolean mayHaveBeenAccepted;

        Proposal(QueuedChange queued, long startedAtUs) {
            this.queued = queued;
            this.startedAtUs = startedAtUs;
        }
    }

    /**
     * Creates an idle proposer.
     *
     * @param self number of this keeper
     * @param seed seed of the random phase timeouts and backoffs
     * @param onChosen receives each version that this proposer got chosen
     */
    public Proposer(
            ProtocolParameters parameters,
            int self,
            History history,
            Rules rules,
            long seed,
            Consumer<Version> onChosen) {
        this.parameters = parameters;
        this.self = self;
        this.history = history;
        this.rules = rules;
        this.random = new SplittableRandom(seed);
        this.onChosen = onChosen;
    }

    /** Returns the state without times and random values. Two proposers with the same text behave alike. */
    @Override
    public String toString() {
        return state + " " + rev + " " + ballot + " " + agreedKeepers + " " + highestAcceptedBallot + " "
                + (value == null ? "" : value.id()) + " " + highestRound + " " + queue.size()
                + (isIdle()
                        ? ""
                        : (proposal.queued == null ? "" : proposal.queued.change.id()) + " "
                                + proposal.mayHaveBeenAccepted + " " + proposal.ballotCount);
    }

    /** Returns whether no proposal is in progress. */
    public boolean isIdle() {
        return state == State.IDLE;
    }

    /** Returns the number of changes rejected because the queue was full. */
    public long rejectedChanges() {
        return rejectedChanges;
    }

    /** Returns when {@link #tick} must be called, in microseconds; {@link Long#MAX_VALUE} while idle. */
    public long nextAtUs() {
        return isIdle() ? Long.MAX_VALUE : phaseDeadlineUs;
    }

    /** Queues an operator's change. It is answered by exactly one {@link Effect.CompleteChange}. */
    public void propose(long nowUs, long callId, Change change, List<Effect> effects) {
        if (queue.size() >= ProtocolParameters.MAX_QUEUED_CHANGE_COUNT) {
            rejectedChanges++;
            effects.add(new Effect.CompleteChange(
                    callId, new Outcome.Unavailable(ProtocolParameters.MAX_QUEUED_CHANGE_COUNT + " changes wait")));
            return;
        }
        queue.add(new QueuedChange(callId, change));
        startNext(nowUs, effects);
    }

    /**
     * Proposes the value that this voter has accepted for the open version, if no proposal is in progress.
     * It is called when this keeper has not learned for some time that the value was chosen.
     */
    public void recoverAccepted(long nowUs, List<Effect> effects) {
        if (isIdle()) {
            proposal = new Proposal(null, nowUs);
            prepare(nowUs, effects);
        }
    }

    private void startNext(long nowUs, List<Effect> effects) {
        while (isIdle() && !queue.isEmpty()) {
            proposal = new Proposal(queue.poll(), nowUs);
            validate(nowUs, effects);
        }
    }

    /**
     * Validates the queued change against the current history. The version for which it may have been
     * accepted is decided by now.
     */
    private void validate(long nowUs, List<Effect> effects) {
        if (proposal.queued == null) {
            complete(null, effects);
            return;
        }
        if (proposal.mayHaveBeenAccepted && !history.covers(rev - 1)) {
            // The history was replaced by a snapshot, which has no ids of changes.
            complete(new Outcome.Unknown(), effects);
            return;
        }
        proposal.mayHaveBeenAccepted = false;
        Outcome outcome = history.validate(proposal.queued.change, rules);
        if (outcome != null) {
            complete(outcome, effects);
        } else {
            prepare(nowUs, effects);
        }
    }

    private void complete(Outcome outcome, List<Effect> effects) {
        state = State.IDLE;
        if (proposal.queued != null) {
            effects.add(new Effect.CompleteChange(proposal.queued.callId, outcome));
        }
    }

    private void prepare(long nowUs, List<Effect> effects) {
        if (proposal.ballotCount >= parameters.maxBallots()
                || nowUs - proposal.startedAtUs >= parameters.proposalTimeoutUs()) {
            complete(
                    proposal.mayHaveBeenAccepted
                            ? new Outcome.Unknown()
                            : new Outcome.Unavailable("no majority of the voters agreed in time"),
                    effects);
            return;
        }
        proposal.ballotCount++;
        ballot = new Ballot(++highestRound, self);
        rev = history.rev() + 1;
        highestAcceptedBallot = Ballot.NONE;
        value = null;
        startPhase(State.PREPARING, nowUs, new Request.Prepare(rev, ballot), effects);
    }

    private void startPhase(State phase, long nowUs, Request request, List<Effect> effects) {
        state = phase;
        agreedKeepers.clear();
        phaseDeadlineUs = nowUs + random.nextLong(parameters.minPhaseTimeoutUs(), parameters.maxPhaseTimeoutUs());
        history.voters().forEach(voter -> effects.add(new Effect.Send(voter.keeper(), request)));
    }

    private boolean isMajority() {
        return agreedKeepers.size() > history.voters().size() / 2;
    }

    /**
     * Handles a response to a request of this proposer. Responses for another version or ballot are
     * ignored.
     */
    public void handleResponse(long nowUs, int from, Response received, List<Effect> effects) {
        if (history.voters().stream().noneMatch(voter -> voter.keeper() == from)) {
            return;
        }
        if (received instanceof Response.Promised response
                && isCurrent(State.PREPARING, response.rev(), response.ballot())) {
            onPromised(nowUs, from, response, effects);
        } else if (received instanceof Response.Accepted response
                && isCurrent(State.ACCEPTING, response.rev(), response.ballot())) {
            onAccepted(nowUs, from, effects);
        } else if (received instanceof Response.Rejected response) {
            highestRound = Math.max(highestRound, response.promised().round());
            if (isCurrent(state, response.rev(), response.ballot())) {
                // Retrying at once would let two competing proposers spend all their ballots within
                // milliseconds, so the backoff grows with each ballot. Until then, the other voters may
                // still agree.
                phaseDeadlineUs = Math.min(
                        phaseDeadlineUs,
                        nowUs
                                + parameters.minBackoffUs()
                                + random.nextLong(proposal.ballotCount * parameters.minPhaseTimeoutUs() / 2));
            }
        }
        startNext(nowUs, effects);
    }

    private boolean isCurrent(State expectedState, long requestRev, Ballot requestBallot) {
        return !isIdle() && state == expectedState && requestRev == rev && requestBallot.equals(ballot);
    }

    private void onPromised(long nowUs, int from, Response.Promised response, List<Effect> effects) {
        agreedKeepers.add(from);
        if (response.accepted() != null && response.acceptedBallot().isGreaterThan(highestAcceptedBallot)) {
            highestAcceptedBallot = response.acceptedBallot();
            value = response.accepted();
        }
        if (!isMajority()) {
            return;
        }
        if (value == null && proposal.queued == null) {
            complete(null, effects);
            return;
        }
        value = value == null ? proposal.queued.change : value;
        proposal.mayHaveBeenAccepted |= proposal.queued != null && value.equals(proposal.queued.change);
        startPhase(State.ACCEPTING, nowUs, new Request.Accept(rev, ballot, value), effects);
    }

    private void onAccepted(long nowUs, int from, List<Effect> effects) {
        agreedKeepers.add(from);
        if (isMajority()) {
            onChosen.accept(new Version(rev, value));
            // The own change is found by its id now. After another keeper's value, the own change is
            // proposed for the next version; the ballots so far did not fail for want of a majority.
            proposal.ballotCount = 0;
            validate(nowUs, effects);
        }
    }

    /** Validates the proposal again after versions were learned from other keepers. */
    public void historyAdvanced(long nowUs, List<Effect> effects) {
        if (!isIdle() && rev <= history.rev()) {
            validate(nowUs, effects);
        }
        startNext(nowUs, effects);
    }

    /** Starts a new ballot if the current phase has timed out, and the next queued change if idle. */
    public void tick(long nowUs, List<Effect> effects) {
        if (nowUs >= nextAtUs()) {
            prepare(nowUs, effects);
        }
        startNext(nowUs, effects);
    }
}
