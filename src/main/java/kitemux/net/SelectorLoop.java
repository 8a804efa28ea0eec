package kitemux.net;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import java.util.concurrent.Executor;

/** The event loop of a node: one thread over the system's selector. */
public final class SelectorLoop extends SingleThreadIoEventLoop implements PollingLoop {

    private SelectorLoop(IoEventLoopGroup group, Executor executor, IoHandlerFactory selectors) {
        super(group, executor, selectors);
    }

    /** A new one, the only one of its group; its thread begins with its first task. */
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
        return ((MillisecondTimerIoHandler) ioHandler()).polledNanos();
    }
}
