package kitemux.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Holds the bounds of all sockets of a node against the system's memory for TCP. */
class SocketBuffersTest {
    private static final int DESCRIPTOR_COUNT = 1_024;
    private static final long GIGABYTE = 1L << 30;

    /** The limits that a system with this memory sets by itself: a sixteenth for the mark, half as much again for the limit. */
    private static TcpMemoryLimits limitsOfMachineWith(long memoryBytes) {
        return new TcpMemoryLimits(memoryBytes / 16, memoryBytes / 16 * 3 / 2);
    }

    @ParameterizedTest
    @ValueSource(longs = {4, 8, 24, 64})
    void allSocketsOfBothProcessesStayWithinTheirShare(long gigabytes) {
        TcpMemoryLimits limits = limitsOfMachineWith(gigabytes * GIGABYTE);
        long nodeBytes = SocketBuffers.within(limits, DESCRIPTOR_COUNT).nodeBytes(DESCRIPTOR_COUNT);
        assertTrue(nodeBytes <= SocketBuffers.NODE_SHARE * limits.pressureBytes(), nodeBytes + " bytes of " + limits);
    }

    /** A system that is short goes on to give memory to a socket that holds less than the limit over all sockets. */
    @ParameterizedTest
    @ValueSource(longs = {4, 8, 24, 64})
    void socketStaysBelowItsEvenPartOfTheLimit(long gigabytes) {
        TcpMemoryLimits limits = limitsOfMachineWith(gigabytes * GIGABYTE);
        SocketBuffers buffers = SocketBuffers.within(limits, DESCRIPTOR_COUNT);
        for (SocketBuffers.Kind kind : SocketBuffers.Kind.values()) {
            long evenPartBytes = limits.limitBytes() / (2 * DESCRIPTOR_COUNT);
            assertTrue(buffers.bound(kind).systemBytes() < evenPartBytes, kind + ": " + buffers.bound(kind));
        }
    }

    @Test
    void buffersHaveTheirFullSizeWhereMemoryIsPlenty() {
        SocketBuffers buffers = SocketBuffers.within(limitsOfMachineWith(64 * GIGABYTE), DESCRIPTOR_COUNT);
        for (SocketBuffers.Kind kind : SocketBuffers.Kind.values()) {
            assertEquals(SocketBuffers.full().bound(kind), buffers.bound(kind));
        }
    }

    @Test
    void buffersAreNotReducedBelowAFewSegments() {
        SocketBuffers buffers = SocketBuffers.within(limitsOfMachineWith(GIGABYTE / 16), DESCRIPTOR_COUNT);
        for (SocketBuffers.Kind kind : SocketBuffers.Kind.values()) {
            assertEquals(SocketBuffers.MIN_BUFFER_BYTES, buffers.bound(kind).receiveBytes());
            assertEquals(SocketBuffers.MIN_BUFFER_BYTES, buffers.bound(kind).sendBytes());
        }
    }

    @Test
    void limitsOfThisSystemAreRead() throws IOException {
        TcpMemoryLimits limits = TcpMemoryLimits.read(Path.of("/proc"));
        assertTrue(0 < limits.pressureBytes() && limits.pressureBytes() <= limits.limitBytes(), limits.toString());
    }
}
