package kitemux.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * What a process of this machine has used so far, as its system tells it in ticks of 10 ms.
 *
 * @param cpuMs processor time of all its threads
 * @param loopMs processor time of its event loop's thread; 0 where none has that name
 * @param residentKb memory that it holds now
 */
record ProcessFigures(long cpuMs, long loopMs, long residentKb) {
    private static final long MS_IN_TICK = 10;
    /** As the network library names its loops' threads; the system keeps 15 letters of a name. */
    private static final String LOOP = "multiThreadIoEv";

    /**
     * Those of a process.
     *
     * @throws IOException if it has ended, or the system does not tell
     */
    static ProcessFigures of(long pid) throws IOException {
        Path process = Path.of("/proc", Long.toString(pid));
        List<Path> tasks;
        try (Stream<Path> all = Files.list(process.resolve("task"))) {
            tasks = all.toList();
        }
        long loop = loopTicks(tasks);
        long resident = 0;
        for (String line : Files.readAllLines(process.resolve("status"))) {
            if (line.startsWith("VmRSS:")) {
                resident = Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        return new ProcessFigures(ticks(stat(process)) * MS_IN_TICK, loop * MS_IN_TICK, resident);
    }

    /** Of the busiest loop's thread among these; one that has ended since they were listed is passed over. */
    static long loopTicks(List<Path> tasks) throws IOException {
        long loop = 0;
        for (Path task : tasks) {
            try {
                String stat = stat(task);
                if (stat.contains("(" + LOOP)) {
                    loop = Math.max(loop, ticks(stat));
                }
            } catch (IOException e) {
                if (Files.exists(task)) {
                    throw e;
                }
            }
        }
        return loop;
    }

    private static String stat(Path of) throws IOException {
        return Files.readString(of.resolve("stat"));
    }

    /** User and system time; names before them may hold blanks, but end with the last bracket. */
    private static long ticks(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
    }

    /** What was used since an earlier look; memory is what is held now. */
    ProcessFigures since(ProcessFigures earlier) {
        return new ProcessFigures(cpuMs - earlier.cpuMs, loopMs - earlier.loopMs, residentKb);
    }
}
