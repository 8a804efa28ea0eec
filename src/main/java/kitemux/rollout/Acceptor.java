package kitemux.rollout;

/**
 * The Paxos acceptor of a voter for the open version, which is the one after the newest version known to be
 * chosen. After each call the caller persists and syncs {@link #vote()} if it has changed, and responds
 * only after that sync.
 */
public final class Acceptor {
    private Vote vote;

    /**
     * Creates an acceptor that continues from a stored vote. A vote on a version that has been chosen since
     * has no effect once {@link #advanceTo} is called.
     */
    public Acceptor(Vote vote) {
        this.vote = vote;
    }

    /**
     * Returns the current promise and acceptance, which must be on disk before they are reported to anyone.
     */
    public Vote vote() {
        return vote;
    }

    /**
     * Records that all versions up to {@code rev} are chosen. The version after it becomes the open one,
     * unless it already is.
     */
    public void advanceTo(long rev) {
        if (rev >= vote.rev()) {
            vote = Vote.empty(rev + 1);
        }
    }

    /**
     * Handles a prepare request for the open version. Promises if the ballot is greater than every ballot
     * promised so far, and rejects the request otherwise.
     */
    public Response prepare(Request.Prepare request) {
        if (!request.ballot().isGreaterThan(vote.promised())) {
            return new Response.Rejected(request.rev(), request.ballot(), vote.promised());
        }
        vote = new Vote(vote.rev(), request.ballot(), vote.acceptedAt(), vote.accepted());
        return new Response.Promised(request.rev(), request.ballot(), vote.acceptedAt(), vote.accepted());
    }

    /**
     * Handles an accept request for the open version. Accepts the value unless a greater ballot was
     * promised.
     */
    public Response accept(Request.Accept request) {
        if (vote.promised().isGreaterThan(request.ballot())) {
            return new Response.Rejected(request.rev(), request.ballot(), vote.promised());
        }
        vote = new Vote(vote.rev(), request.ballot(), request.ballot(), request.value());
        return new Response.Accepted(request.rev(), request.ballot());
    }
}
