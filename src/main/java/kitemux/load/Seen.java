package kitemux.load;

import java.util.List;
import kitemux.Balancer.Result;
import kitemux.engine.Observer;

/**
 * What a node saw of a request, from its coming until nothing more is heard of it. Times are Unix time in
 * microseconds, by the node's clock.
 *
 * @param cameUs when it came, as far as that can be told
 * @param classIndex its class, by the file's head
 * @param tenant its tenant, by the file's head, or -1
 * @param repeat whether its client marked it as one
 * @param leftUs how long its client would wait, from then on
 * @param attempts in the order in which they were sent
 * @param end how it was answered
 * @param tookUs from its coming to that answer
 */
public record Seen(
        long cameUs,
        int classIndex,
        int tenant,
        boolean repeat,
        long leftUs,
        List<Attempt> attempts,
        Observer.RequestOutcome end,
        long tookUs) {

    /**
     * One that was sent to a server.
     *
     * @param server its id
     * @param afterUs from the request's coming to this
     * @param tookUs until its end was known
     * @param result how it ended
     */
    public record Attempt(String server, long afterUs, long tookUs, Result result) {}
}
