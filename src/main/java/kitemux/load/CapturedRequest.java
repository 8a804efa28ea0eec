package kitemux.load;

import java.util.List;
import kitemux.Balancer.Result;
import kitemux.engine.Observer;

/**
 * What a node saw of a request, from its coming until nothing more is heard of it. Times are Unix time in
 * microseconds, by the node's clock.
 *
 * @param arrivedUs when it came, as far as that can be told
 * @param classIndex its class, by the file's head
 * @param tenantIndex its tenant, by the file's head, or -1
 * @param isRetry whether its client marked it as one
 * @param remainingUs how long its client would wait, from then on
 * @param attempts in the order in which they were sent
 * @param answer how it was answered
 * @param durationUs from its coming to that answer
 */
public record CapturedRequest(
        long arrivedUs,
        int classIndex,
        int tenantIndex,
        boolean isRetry,
        long remainingUs,
        List<Attempt> attempts,
        Observer.RequestOutcome answer,
        long durationUs) {

    /**
     * One that was sent to a server.
     *
     * @param server its id
     * @param sentAfterUs from the request's coming to this
     * @param durationUs until its end was known
     * @param result how it ended
     */
    public record Attempt(String server, long sentAfterUs, long durationUs, Result result) {}
}
