package kitemux.net;

import io.netty.channel.EventLoop;

/** An event loop that records when it polls its sockets. */
public interface PollingLoop extends EventLoop {
    /**
     * Returns the time, on the loop's ticker, of the last poll whose input has been read. While the loop reads,
     * this is the previous poll, because the input may have arrived at any time since then. In tasks and timers
     * it is the poll of the same iteration: input that arrived before it has been read, as far as one iteration
     * reads. This must only be called on the loop.
     */
    long lastPollNanos();
}
