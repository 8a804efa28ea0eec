package kitemux.node;

import io.netty.channel.ChannelFuture;
import java.util.function.Supplier;

/**
 * Orders the start and the shutdown of a process, which run on two threads. Once the gate is closed the process does
 * not begin to listen, and the closing thread learns whether there may be clients to serve.
 */
final class StartupGate {
    private final Supplier<ChannelFuture> start;
    private ChannelFuture bindFuture;
    private boolean isClosed;

    /** Creates an open gate; {@code start} is called at most once. */
    StartupGate(Supplier<ChannelFuture> start) {
        this.start = start;
    }

    /**
     * Begins to listen.
     *
     * @return a future that completes when the listener is bound; null if the gate was closed before
     */
    synchronized ChannelFuture open() {
        if (!isClosed) {
            bindFuture = start.get();
        }
        return bindFuture;
    }

    /**
     * Prevents a later start and waits for one that has begun.
     *
     * @return whether clients can connect
     */
    boolean close() {
        ChannelFuture pending;
        synchronized (this) {
            isClosed = true;
            pending = bindFuture;
        }
        return pending != null && pending.awaitUninterruptibly().isSuccess();
    }
}
