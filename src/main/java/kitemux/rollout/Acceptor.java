package kitemux.rollout;

/**
 * A voter's part in the decision of the one open version: the one after all that it knows to be chosen.
 * Whoever calls it writes and syncs {@link #vote()} where that has changed, and answers only then.
 */
public final class Acceptor {
    private Vote vote;

    /** With what it has bound itself to; a vote on a version that is chosen since counts for nothing. */
    public Acceptor(Vote vote) {
        this.vote = vote;
    }

    /** What it is bound to. */
    public Vote vote() {
        return vote;
    }

    /** All up to this version is known to be chosen: the next is open, unless it is already. */
    public void advanceTo(long rev) {
        if (rev >= vote.rev()) {
            vote = Vote.empty(rev + 1);
        }
    }

    /** Whether it promises; the request is of the open version. */
    public Response prepare(Request.Prepare asked) {
        if (!asked.ballot().isGreaterThan(vote.promised())) {
            return new Response.Rejected(asked.rev(), asked.ballot(), vote.promised());
        }
        vote = new Vote(vote.rev(), asked.ballot(), vote.acceptedAt(), vote.accepted());
        return new Response.Promised(asked.rev(), asked.ballot(), vote.acceptedAt(), vote.accepted());
    }

    /** Whether it accepts; the request is of the open version. */
    public Response accept(Request.Accept asked) {
        if (vote.promised().isGreaterThan(asked.ballot())) {
            return new Response.Rejected(asked.rev(), asked.ballot(), vote.promised());
        }
        vote = new Vote(vote.rev(), asked.ballot(), asked.ballot(), asked.value());
        return new Response.Accepted(asked.rev(), asked.ballot());
    }
}
