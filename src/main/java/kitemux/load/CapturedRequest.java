package kitemux.load;

import java.util.List;
import kitemux.Balancer.Result;
import kitemux.engine.Observer;

/**
 * A request as a node recorded it, from its arrival to its last event.
 *
 * @param arrivedUs when the request arrived, as exactly as the node can tell, as Unix time in microseconds by
 *     the node's clock
 * @param classIndex the index of its class in the file's header
 * @param tenantIndex the index of its tenant in the file's header, or -1
 * @param isRetry whether the client marked it as a retry
 * @param remainingUs how long the client would wait for the answer from the arrival on, in microseconds
 * @param attempts its attempts, in the order in which they were sent
 * @param answer how the request was answered
 * @param durationUs the time from the arrival to the answer, in microseconds
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
     * An attempt.
     *
     * @param server the server's id
     * @param sentAfterUs the time from the request's arrival to the sending of the attempt, in microseconds
     * @param durationUs the time from the sending to the attempt's end, in microseconds
     * @param result how the attempt ended
     */
    public record Attempt(String server, long sentAfterUs, long durationUs, Result result) {}
}
