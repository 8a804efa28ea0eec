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

/** Tests that delays of the lab itself are measured and not attributed to nodes. */
class RunDelayTest {
    private static final long STALL_NANOS = 500_000_000;

    /** Blocks the thread, as if it did not get a processor. */
    private static void stall() {
        long until = System.nanoTime() + STALL_NANOS;
        while (System.nanoTime() < until) {
            LockSupport.parkNanos(until - System.nanoTime());
        }
    }

    /** A try whose deadline passes during a stall of the lab may have an answer that is not read yet. */
    @Test
    void dataUnreadDuringStallIsNotLost() throws Exception {
        List<String> faults = new ArrayList<>();
        Fleet fleet = FleetFile.read(TestFleets.SMALL_FLEET_HCL.replace("clients {", """
                clients {
                  try_from = 0.1
                  try_to   = 0.3"""), faults);
        assertEquals(List.of(), faults);
        int[] stalls = new int[1];
        LoopbackRun.Outcome outcome = LoopbackRun.execute(fleet, 3, TestFleets::nodeCommand, (emulation, nowUs) -> {
            if (nowUs > 1_000_000 * (stalls[0] + 1L) && stalls[0] < 2) {
                stalls[0]++;
                // Events that are due in the meantime run late in one iteration, before any socket is polled.
                stall();
            }
            return true;
        });
        RunResult result = outcome.result();
        assertEquals(2, stalls[0]);
        assertEquals(List.of(), result.violations());
        assertTrue(outcome.maxDelayUs() > STALL_NANOS / 2_000, "late by " + outcome.maxDelayUs() + " us");
    }

    /** The slow event itself ran on time; the event that is due behind it is late. */
    @Test
    void delayBehindSlowEventIsReported() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            EventLoop loop = (EventLoop) group.next();
            List<long[]> reported = new ArrayList<>();
            RealTimeScheduler[] time = new RealTimeScheduler[1];
            long[] dueUs = new long[1];
            loop.submit(() -> {
                        time[0] = new RealTimeScheduler(
                                loop,
                                delay -> reported.add(
                                        new long[] {time[0].scheduler().nowUs(), delay}));
                        time[0].start();
                        time[0].runExternalEvent(() -> {
                            time[0].scheduler().scheduleAfterUs(0, RunDelayTest::stall);
                            time[0].scheduler().scheduleAfterUs(1_000, () -> {});
                            dueUs[0] = time[0].scheduler().nowUs() + 1_000;
                        });
                        time[0].runExternalEvent(() -> {});
                    })
                    .sync();
            loop.submit(() -> {
                        assertEquals(1, reported.size());
                        long from = reported.get(0)[0] - reported.get(0)[1];
                        assertTrue(reported.get(0)[1] >= STALL_NANOS / 1_000 - 1_000, "late by " + reported.get(0)[1]);
                        assertTrue(
                                from >= dueUs[0] && from < dueUs[0] + STALL_NANOS / 2_000,
                                "reported from " + from + " us, where " + dueUs[0] + " was due");
                        assertTrue(time[0].maxDelayUs() >= STALL_NANOS / 1_000 - 1_000);
                        time[0].stop();
                    })
                    .sync();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(20, TimeUnit.SECONDS);
        }
    }

    /** A blocked loop does not poll its sockets, and the monitor measures for how long. */
    @Test
    void loopStallIsMeasured() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            EventLoop loop = (EventLoop) group.next();
            CompletableFuture<Long> reported = new CompletableFuture<>();
            LoopStallMonitor monitor = new LoopStallMonitor(loop, delay -> {
                if (delay >= STALL_NANOS / 2) {
                    reported.complete(delay);
                }
            });
            loop.submit(() -> {
                        monitor.start();
                        stall();
                    })
                    .sync();
            assertTrue(reported.get(20, TimeUnit.SECONDS) >= STALL_NANOS - 10_000_000);
            assertTrue(monitor.totalStallNanos() >= STALL_NANOS - 10_000_000);
            loop.submit(monitor::stop).sync();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(20, TimeUnit.SECONDS);
        }
    }
}
