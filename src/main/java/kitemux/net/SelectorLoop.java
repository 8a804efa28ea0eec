package kitemux.net;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import java.util.concurrent.Executor;

/** The event loop of a node: a single thread that uses the system's selector. */
public final class SelectorLoop extends SingleThreadIoEventLoop implements PollingLoop {

    private SelectorLoop(IoEventLoopGroup group, Executor executor, IoHandlerFactory selectors) {
        super(group, executor, selectors);
    }

    /** Creates a loop as the only member of its group; its thread starts with the first task. */
    public static SelectorLoop open() {
        return (SelectorLoop)
                new MultiThreadIoEventLoopGroup(1, MillisecondTimerIoHandler.factory()) {
                    @Override
                    protected IoEventLoop newChild(Executor executor, IoHandlerFactory selectors, Object... more) {
                        return new SelectorLoop(this, executor, selectors);
                    }
                }.next();
    }

    @Override
    public long lastPollNanos() {
        return ((MillisecondTimerIoHandler) ioHandler()).lastPollNanos();
    }
}
