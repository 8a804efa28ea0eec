package kitemux.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import kitemux.fleet.Fleet;
import kitemux.fleet.RunResult;
import kitemux.plan.FleetFile;
import org.junit.jupiter.api.Test;

/** A player that was late itself: it measures that, and does not hold it against nodes. */
class RunDelayTest {
    private static final long STALL_NANOS = 500_000_000;

    /** The thread does nothing else for so long, as one that has no processor. */
    private static void stall() {
        long until = System.nanoTime() + STALL_NANOS;
        while (System.nanoTime() < until) {
            LockSupport.parkNanos(until - System.nanoTime());
        }
    }

    /** Whoever asks and whose time ends while the player stands still has not been answered by then. */
    @Test
    void whatLiesUnreadWhileThePlayerStandsStillIsNotLost() throws Exception {
        List<String> faults = new ArrayList<>();
        Fleet fleet = FleetFile.read(TestFleets.SMALL.replace("clients {", """
                clients {
                  try_from = 0.1
                  try_to   = 0.3"""), faults);
        assertEquals(List.of(), faults);
        int[] stalls = new int[1];
        LoopbackRun.Outcome played = LoopbackRun.execute(fleet, 3, TestFleets::node, (live, nowUs) -> {
            if (nowUs > 1_000_000 * (stalls[0] + 1L) && stalls[0] < 2) {
                stalls[0]++;
                // What is due meanwhile comes late, all in one turn, before any socket is looked at.
                stall();
            }
            return true;
        });
        RunResult result = played.result();
        assertEquals(2, stalls[0]);
        assertEquals(List.of(), result.violations());
        assertTrue(played.maxDelayUs() > STALL_NANOS / 2_000, "late by " + played.maxDelayUs() + " us");
    }

    /** The step that took long was on time itself: what is due behind it is late. */
    @Test
    void aStepThatTakesLongIsTold() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            EventLoop loop = (EventLoop) group.next();
            List<long[]> told = new ArrayList<>();
            RealTimeScheduler[] time = new RealTimeScheduler[1];
            long[] dueUs = new long[1];
            loop.submit(() -> {
                        time[0] = new RealTimeScheduler(
                                loop,
                                by -> told.add(new long[] {time[0].scheduler().nowUs(), by}));
                        time[0].begin();
                        time[0].happens(() -> {
                            time[0].scheduler().scheduleAfterUs(0, RunDelayTest::stall);
                            time[0].scheduler().scheduleAfterUs(1_000, () -> {});
                            dueUs[0] = time[0].scheduler().nowUs() + 1_000;
                        });
                        time[0].happens(() -> {});
                    })
                    .sync();
            loop.submit(() -> {
                        assertEquals(1, told.size());
                        long from = told.get(0)[0] - told.get(0)[1];
                        assertTrue(told.get(0)[1] >= STALL_NANOS / 1_000 - 1_000, "late by " + told.get(0)[1]);
                        assertTrue(
                                from >= dueUs[0] && from < dueUs[0] + STALL_NANOS / 2_000,
                                "told as of " + from + " us, where " + dueUs[0] + " was due");
                        assertTrue(time[0].mostLateUs() >= STALL_NANOS / 1_000 - 1_000);
                        time[0].stop();
                    })
                    .sync();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(20, TimeUnit.SECONDS);
        }
    }

    /** A loop that stands still looks at no socket: its beat says for how long. */
    @Test
    void aLoopThatStandsStillIsMeasured() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            EventLoop loop = (EventLoop) group.next();
            CompletableFuture<Long> told = new CompletableFuture<>();
            LoopStallMonitor beat = new LoopStallMonitor(loop, by -> {
                if (by >= STALL_NANOS / 2) {
                    told.complete(by);
                }
            });
            loop.submit(() -> {
                        beat.start();
                        stall();
                    })
                    .sync();
            assertTrue(told.get(20, TimeUnit.SECONDS) >= STALL_NANOS - 10_000_000);
            assertTrue(beat.totalStallNanos() >= STALL_NANOS - 10_000_000);
            loop.submit(beat::stop).sync();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(20, TimeUnit.SECONDS);
        }
    }
}
