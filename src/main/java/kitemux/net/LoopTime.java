package kitemux.net;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Ticker;

import kitemux.engine.Time;

/**
 * The time of an event loop: Unix time in microseconds that never goes back. Wall time is read once, what
 * follows is measured. A wall clock that is set while requests are held would move their deadlines.
 */
public final class LoopTime implements Time {
    /** Between two beats: short against any deadline, long against the cost of a timer. */
    public static final long BEAT_MS = 10;

    private final EventLoop loop;
    private final Ticker ticker;
    private final long originUs;
    private final long originNanos;
    private long beatNanos;

    private LoopTime(EventLoop loop, long originUs) {
        this.loop = loop;
        this.originUs = originUs;
        ticker = loop.ticker();
        originNanos = ticker.nanoTime();
        beatNanos = originNanos;
    }

    /** From the system's wall clock on. */
    public static LoopTime of(EventLoop loop) {
        return startingAt(loop, ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()));
    }

    /** From this Unix time in microseconds on, which is the loop's now. */
    public static LoopTime startingAt(EventLoop loop, long nowUs) {
        return new LoopTime(loop, nowUs);
    }

    @Override
    public long nowUs() {
        return originUs + (ticker.nanoTime() - originNanos) / 1_000;
    }

    /** To be called from a timer on the loop every {@link #BEAT_MS}. */
    public void beat() {
        beatNanos = ticker.nanoTime();
    }

    /**
     * How long what is read from a socket now may have lain there unread, at most, in microseconds. A loop
     * that is behind reads before its timers run, so the last beat tells since when it may not have looked. A
     * request's time runs from when it came: a node that was a tenth of a second behind would else answer a
     * tenth of a second after the client's time was over.
     */
    @Override
    public long unreadUs() {
        return Math.max(0, (ticker.nanoTime() - beatNanos) / 1_000 - BEAT_MS * 1_000);
    }

    @Override
    public Timer after(long us, Runnable task) {
        Future<?> scheduled = loop.schedule(task, us, TimeUnit.MICROSECONDS);
        return () -> scheduled.cancel(false);
    }
}
