package kitemux.load;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import kitemux.config.FileSection;
import kitemux.config.Json;

/**
 * Settings of the load capture.
 *
 * @param folder the folder of the capture files; created if it does not exist
 * @param ring the capacity of the ring of requests that wait to be written; further requests are dropped and
 *     counted
 * @param fileBytes the size at which a file ends and another one is begun
 * @param keepBytes the size of all files above which the oldest are deleted
 */
public record LoadSettings(Path folder, int ring, long fileBytes, long keepBytes) {
    private static final Set<String> FIELDS = Set.of("folder", "ring", "fileKiB", "keepMiB");
    /** Largest ring; each request takes some 200 bytes of a heap of 64 MiB. */
    private static final long MAX_RING_COUNT = 1 << 16;

    private static final long MAX_TOTAL_MIB = 1 << 20;

    /**
     * Reads the settings.
     *
     * @param faults receives one line for each fault, with the field and the reason
     * @return the settings, or null if there are faults or the section is missing; no load is captured then
     */
    public static LoadSettings read(Json json, List<String> faults) {
        if (json.isMissing()) {
            return null;
        }
        int faultsBefore = faults.size();
        FileSection section = new FileSection(json, "load", faults);
        section.rejectUnknownFields(FIELDS);
        Path folder = section.readFolder();
        long ring = section.readLong("ring", 8_192, 64, MAX_RING_COUNT);
        long fileKiB = section.readLong("fileKiB", 4_096, 16, 1 << 20);
        long keepMiB = section.readLong("keepMiB", 256, 1, MAX_TOTAL_MIB);
        if (keepMiB << 10 < fileKiB) {
            faults.add("load.keepMiB must be at least the size of one file, load.fileKiB");
        }
        return faults.size() > faultsBefore ? null : new LoadSettings(folder, (int) ring, fileKiB << 10, keepMiB << 20);
    }
}
