package kitemux.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * How much memory the system gives to all TCP sockets together, in bytes (Linux: {@code net.ipv4.tcp_mem}). Above the mark
 * for pressure, a socket that holds more than its even part of the limit is given no more: its input is dropped and comes
 * again after 0.2 s and more.
 *
 * @param pressureBytes the mark for pressure
 * @param limitBytes the limit
 */
public record TcpMemoryLimits(long pressureBytes, long limitBytes) {
    /** Size of the pages in which the system counts; larger on some machines, where the limits are higher than read. */
    private static final long PAGE_BYTES = 4 << 10;

    private static final int FIELD_COUNT = 3;

    /**
     * Reads the limits of this system.
     *
     * @param proc the folder of the process file system, {@code /proc} on Linux
     * @throws IOException if the system does not tell them
     */
    public static TcpMemoryLimits read(Path proc) throws IOException {
        // Read by lines: the system gives this file to a reader with a small buffer only in part.
        List<String> lines = Files.readAllLines(proc.resolve("sys/net/ipv4/tcp_mem"));
        String[] pages = lines.isEmpty() ? new String[0] : lines.get(0).strip().split("\\s+");
        if (pages.length != FIELD_COUNT) {
            throw new IOException("tcp_mem does not have " + FIELD_COUNT + " figures");
        }
        try {
            return new TcpMemoryLimits(Long.parseLong(pages[1]) * PAGE_BYTES, Long.parseLong(pages[2]) * PAGE_BYTES);
        } catch (NumberFormatException e) {
            throw new IOException("tcp_mem is not made of numbers", e);
        }
    }
}
