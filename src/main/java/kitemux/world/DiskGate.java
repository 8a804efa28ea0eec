package kitemux.world;

import io.netty.channel.EventLoop;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.Settings;
import kitemux.engine.SendGate;
import kitemux.http.ClientRequest;
import kitemux.sim.Scheduler;

/**
 * The gate of a journal of orders on a disk that goes wrong as a seed says: one world in four keeps none, the
 * others have a disk that is quick, one that is slow at times, or one that is gone at times.
 */
final class DiskGate implements SendGate<ClientRequest> {
    /** As the journal's own bound: a send waits for its record no longer. */
    private static final long LATE_US = 100_000;

    private static final long PERIOD_US = 700_000;

    private final EventLoop loop;
    private final Scheduler time;
    private final Settings settings;
    private final SplittableRandom random;
    private final int mood;

    DiskGate(EventLoop loop, Scheduler time, Settings settings, long seed) {
        this.loop = loop;
        this.time = time;
        this.settings = settings;
        random = new SplittableRandom(seed);
        mood = (int) Math.floorMod(seed, 4L);
    }

    @Override
    public void admit(
            long id,
            ClientRequest request,
            int attempt,
            String serverId,
            Supplier<String> endpoint,
            long untilUs,
            Consumer<Boolean> then) {
        if (mood == 0 || settings.classes.get(request.classIndex()).retrySafety() != RetrySafety.UNSAFE) {
            then.accept(true);
            return;
        }
        boolean bad = mood > 1 && time.nowUs() / PERIOD_US % 3 == 1;
        boolean gone = bad && mood == 3;
        long takesUs = 100 + random.nextInt(bad ? 300_000 : 3_000);
        loop.schedule(
                () -> then.accept(!gone && takesUs < LATE_US),
                gone ? 10 : Math.min(takesUs, LATE_US),
                TimeUnit.MICROSECONDS);
    }

    @Override
    public long retryAfterUs() {
        return Math.min(LATE_US, settings.maxRetryAfterUs);
    }
}
