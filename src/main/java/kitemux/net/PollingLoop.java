package kitemux.net;

import io.netty.channel.EventLoop;

/** An event loop that knows when it has polled its sockets. */
public interface PollingLoop extends EventLoop {
    /**
     * When it last polled its sockets and then read what had come on them, on its ticker's clock. While it
     * reads that is the poll before: what it reads may have come since then. In tasks and timers it is the
     * poll of the same turn: whatever came before that has been read, as far as one turn reads. To be asked
     * on the loop alone.
     */
    long lastPollNanos();
}
