package kitemux.node;

import io.netty.channel.ChannelFuture;
import java.util.function.Supplier;

/**
 * Whether a process takes clients or ends, of which two threads decide: the one that starts it, and the one
 * that runs as it is told to end. Once it ends it opens no more, and whoever ends it knows whether there may
 * be clients to serve.
 */
final class StartupGate {
    private final Supplier<ChannelFuture> start;
    private ChannelFuture opened;
    private boolean ended;

    /** Nothing is open yet; {@code start} opens it, at most once. */
    StartupGate(Supplier<ChannelFuture> start) {
        this.start = start;
    }

    /** Opens, and gives when that is done; null if it has been told to end before. */
    synchronized ChannelFuture open() {
        if (!ended) {
            opened = start.get();
        }
        return opened;
    }

    /** Opens no more from now on; waits for what was begun. True if clients can connect. */
    boolean close() {
        ChannelFuture begun;
        synchronized (this) {
            ended = true;
            begun = opened;
        }
        return begun != null && begun.awaitUninterruptibly().isSuccess();
    }
}
