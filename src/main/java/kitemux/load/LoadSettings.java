package kitemux.load;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import kitemux.config.FileSection;
import kitemux.config.Json;

/**
 * How load is captured.
 *
 * @param folder where; made where it is not there
 * @param ring requests that wait to be written, at most; further ones are counted and left out
 * @param fileBytes after so many a file is ended and another begun
 * @param keepBytes the oldest files go while all together have more
 */
public record LoadSettings(Path folder, int ring, long fileBytes, long keepBytes) {
    private static final Set<String> FIELDS = Set.of("folder", "ring", "fileKiB", "keepMiB");
    /** Each takes some 200 bytes of a heap of 64 MiB. */
    private static final long MAX_RING_COUNT = 1 << 16;

    private static final long MAX_TOTAL_MIB = 1 << 20;

    /**
     * Reads them, or null where there are none: nothing is captured then.
     *
     * @param faults one line is added for each that is found, with field and reason
     */
    public static LoadSettings read(Json json, List<String> faults) {
        if (json.isMissing()) {
            return null;
        }
        int faultsBefore = faults.size();
        FileSection section = new FileSection(json, "load", faults);
        section.onlyKnown(FIELDS);
        Path folder = section.folder();
        long ring = section.within("ring", 8_192, 64, MAX_RING_COUNT);
        long fileKiB = section.within("fileKiB", 4_096, 16, 1 << 20);
        long keepMiB = section.within("keepMiB", 256, 1, MAX_TOTAL_MIB);
        if (keepMiB << 10 < fileKiB) {
            faults.add("load.keepMiB is less than one file has by load.fileKiB");
        }
        return faults.size() > faultsBefore ? null : new LoadSettings(folder, (int) ring, fileKiB << 10, keepMiB << 20);
    }
}
