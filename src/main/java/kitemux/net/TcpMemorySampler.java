package kitemux.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads what the system says of its memory for TCP, so that a trace can tell a silent server from input that the system
 * has dropped. The figures are those of the whole system (or network namespace), not of this process alone.
 *
 * <p>Reading takes a system call or two; it is not for the event loop's thread.
 */
public final class TcpMemorySampler {
    /** Counters that grow when the system is short of memory for TCP, as named in {@code netstat}. */
    private static final List<String> COUNTERS =
            List.of("TCPRcvQDrop", "RcvPruned", "TCPTimeouts", "TCPAbortOnMemory", "TCPAbortOnTimeout");

    /** Size of the pages in which the system counts. */
    private static final long PAGE_BYTES = 4 << 10;

    private static final String EXTENSIONS_PREFIX = "TcpExt:";
    private static final String MEMORY_FIELD = "mem";

    private final Path proc;
    private Map<String, Long> lastCounters;
    private boolean wasUnderPressure;

    /**
     * Creates a sampler.
     *
     * @param proc the folder of the process file system, {@code /proc} on Linux
     */
    public TcpMemorySampler(Path proc) {
        this.proc = proc;
    }

    /**
     * Returns a line on the system's memory for TCP, or null if nothing was dropped since the last call and it is not above
     * its mark for pressure, or if the system does not tell.
     */
    public String sample() {
        try {
            long usedBytes = readUsedPages() * PAGE_BYTES;
            long pressureBytes = TcpMemoryLimits.read(proc).pressureBytes();
            Map<String, Long> counters = readCounters();
            Map<String, Long> growth = new LinkedHashMap<>();
            counters.forEach((name, count) ->
                    growth.put(name, count - (lastCounters == null ? count : lastCounters.getOrDefault(name, count))));
            lastCounters = counters;
            boolean isUnderPressure = usedBytes > pressureBytes;
            boolean isNews = isUnderPressure || wasUnderPressure || growth.get(COUNTERS.get(0)) > 0;
            wasUnderPressure = isUnderPressure;
            return isNews ? describe(usedBytes, pressureBytes, growth) : null;
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }

    private static String describe(long usedBytes, long pressureBytes, Map<String, Long> growth) {
        StringBuilder line = new StringBuilder("system tcp memory ")
                .append(usedBytes)
                .append(" bytes, pressure from ")
                .append(pressureBytes);
        growth.forEach(
                (name, count) -> line.append(", ").append(name).append(" +").append(count));
        return line.toString();
    }

    private long readUsedPages() throws IOException {
        for (String line : Files.readAllLines(proc.resolve("net/sockstat"))) {
            String[] fields = line.split(" ");
            for (int i = 0; line.startsWith("TCP:") && i + 1 < fields.length; i++) {
                if (fields[i].equals(MEMORY_FIELD)) {
                    return Long.parseLong(fields[i + 1]);
                }
            }
        }
        throw new IOException("no figure of the memory for TCP");
    }

    /** Reads the counters: a line of names precedes each line of figures. */
    private Map<String, Long> readCounters() throws IOException {
        Map<String, Long> counters = new LinkedHashMap<>();
        String[] names = null;
        for (String line : Files.readAllLines(proc.resolve("net/netstat"))) {
            if (!line.startsWith(EXTENSIONS_PREFIX)) {
                continue;
            }
            String[] fields = line.split(" ");
            if (names == null) {
                names = fields;
                continue;
            }
            for (int i = 1; i < fields.length; i++) {
                if (COUNTERS.contains(names[i])) {
                    counters.put(names[i], Long.parseLong(fields[i]));
                }
            }
        }
        return counters;
    }
}
