package kitemux.telemetry;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import kitemux.config.FileSection;
import kitemux.config.Json;

/**
 * Settings of the trace of connections, requests and attempts.
 *
 * @param folder folder of the trace files, created if missing; each process writes its own file
 * @param queueCapacity limit of lines that wait to be written; further lines are counted and dropped
 */
public record TraceSettings(Path folder, int queueCapacity) {
    private static final Set<String> FIELDS = Set.of("folder", "ring");
    private static final int DEFAULT_QUEUE_CAPACITY = 8_192;
    private static final int MIN_QUEUE_CAPACITY = 64;
    private static final int MAX_QUEUE_CAPACITY = 1 << 16;

    /**
     * Reads the section; a missing section turns the trace off.
     *
     * @param faults receives one line for each fault, with field and reason
     * @return null if the section is missing or faulty
     */
    public static TraceSettings read(Json json, List<String> faults) {
        if (json.isMissing()) {
            return null;
        }
        int faultsBefore = faults.size();
        FileSection section = new FileSection(json, "trace", faults);
        section.rejectUnknownFields(FIELDS);
        Path folder = section.readFolder();
        long queueCapacity = section.readLong("ring", DEFAULT_QUEUE_CAPACITY, MIN_QUEUE_CAPACITY, MAX_QUEUE_CAPACITY);
        return faults.size() > faultsBefore ? null : new TraceSettings(folder, (int) queueCapacity);
    }
}
