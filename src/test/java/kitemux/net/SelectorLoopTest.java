package kitemux.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a process that stays without its event loop, as nothing tells that the loop's thread has ended. */
@Timeout(30)
class SelectorLoopTest {
    @Test
    void endOfLoopIsReported() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        SelectorLoop loop = SelectorLoop.open(ended::countDown);
        loop.submit(() -> {}).sync();
        assertEquals(1, ended.getCount(), "the loop runs");
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
        assertTrue(ended.await(20, TimeUnit.SECONDS));
    }
}
