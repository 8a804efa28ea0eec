package kitemux.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a trace tells input that the system dropped for want of memory from a silent server. */
class TcpMemorySamplerTest {
    @TempDir
    private Path proc;

    private void write(long usedPages, long drops) throws IOException {
        Files.createDirectories(proc.resolve("net"));
        Files.createDirectories(proc.resolve("sys/net/ipv4"));
        Files.writeString(proc.resolve("sys/net/ipv4/tcp_mem"), "75\t100\t150\n");
        Files.writeString(
                proc.resolve("net/sockstat"), "sockets: used 9\nTCP: inuse 2 orphan 0 tw 1 alloc 4 mem " + usedPages);
        Files.writeString(
                proc.resolve("net/netstat"),
                "TcpExt: SyncookiesSent TCPRcvQDrop TCPTimeouts\nTcpExt: 7 " + drops
                        + " 3\nIpExt: InMcastPkts\nIpExt: 0\n");
    }

    @Test
    void dropsAndPressureAreToldAndNothingElse() throws Exception {
        TcpMemorySampler sampler = new TcpMemorySampler(proc);
        assertNull(sampler.sample(), "a system that does not tell");
        write(90, 5);
        assertNull(sampler.sample());
        write(90, 8);
        assertEquals(
                "system tcp memory 368640 bytes, pressure from 409600, TCPRcvQDrop +3, TCPTimeouts +0",
                sampler.sample());
        write(120, 8);
        assertEquals(
                "system tcp memory 491520 bytes, pressure from 409600, TCPRcvQDrop +0, TCPTimeouts +0",
                sampler.sample());
        write(90, 8);
        assertEquals(
                "system tcp memory 368640 bytes, pressure from 409600, TCPRcvQDrop +0, TCPTimeouts +0",
                sampler.sample(),
                "the end of the pressure is told");
        assertNull(sampler.sample());
    }
}
