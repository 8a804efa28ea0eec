package kitemux.net;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadFactory;

/** The event loop of a node: a single thread that uses the system's selector. */
public final class SelectorLoop extends SingleThreadIoEventLoop implements PollingLoop {

    private SelectorLoop(IoEventLoopGroup group, Executor executor, IoHandlerFactory selectors) {
        super(group, executor, selectors);
    }

    /** Creates a loop as the only member of its group; its thread starts with the first task. */
    public static SelectorLoop open() {
        return open(() -> {});
    }

    /**
     * Creates a loop as {@link #open()} does.
     *
     * @param onEnd runs on the loop's thread when it ends, whatever the cause. An error such as a lack of memory ends
     *     the thread without a report; a process that waits for the loop would stay and serve nothing
     */
    public static SelectorLoop open(Runnable onEnd) {
        ThreadFactory threads = new DefaultThreadFactory(SelectorLoop.class);
        Executor executor =
                loop -> threads.newThread(() -> runAndReport(loop, onEnd)).start();
        return (SelectorLoop)
                new MultiThreadIoEventLoopGroup(1, executor, MillisecondTimerIoHandler.factory()) {
                    @Override
                    protected IoEventLoop newChild(Executor executor, IoHandlerFactory selectors, Object... more) {
                        return new SelectorLoop(this, executor, selectors);
                    }
                }.next();
    }

    private static void runAndReport(Runnable loop, Runnable onEnd) {
        try {
            loop.run();
        } finally {
            onEnd.run();
        }
    }

    @Override
    public long lastPollNanos() {
        return ((MillisecondTimerIoHandler) ioHandler()).lastPollNanos();
    }
}
