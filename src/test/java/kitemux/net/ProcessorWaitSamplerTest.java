package kitemux.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a trace tells a loop that the machine holds up from one that has too much to do. */
class ProcessorWaitSamplerTest {
    @TempDir
    private Path proc;

    private void write(long runMs, long waitMs) throws IOException {
        Path thread = Files.createDirectories(proc.resolve("self/task/12"));
        Files.writeString(thread.resolve("comm"), "a-long-name-of-\n");
        Files.writeString(thread.resolve("schedstat"), runMs * 1_000_000 + " " + waitMs * 1_000_000 + " 7\n");
    }

    @Test
    void waitsSinceTheLastSampleAreTold() throws Exception {
        ProcessorWaitSampler sampler = new ProcessorWaitSampler(proc, "a-long-name-of-a-thread");
        assertNull(sampler.sample(), "a system that does not tell");
        write(100, 50);
        assertEquals("loop ran for 100 ms, waited for a processor for 50", sampler.sample());
        write(500, 60);
        assertNull(sampler.sample(), "a loop that is busy and hardly waits");
        write(510, 460);
        assertEquals("loop ran for 10 ms, waited for a processor for 400", sampler.sample());
    }
}
