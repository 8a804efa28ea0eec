package kitemux.telemetry;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import kitemux.config.FileSection;
import kitemux.config.Json;

/**
 * Where a trace of connections, requests and attempts is written.
 *
 * @param folder made where it is not there; each process writes a file of its own
 * @param queueCapacity lines that wait to be written, at most; further ones are counted and left out
 */
public record TraceSettings(Path folder, int queueCapacity) {
    private static final Set<String> FIELDS = Set.of("folder", "ring");
    private static final int DEFAULT_RING = 8_192;
    private static final int LEAST_RING = 64;
    private static final int MOST_RING = 1 << 16;

    /**
     * Reads them, or null where there are none: nothing is traced then.
     *
     * @param faults one line is added for each that is found, with field and reason
     */
    public static TraceSettings read(Json json, List<String> faults) {
        if (json.isMissing()) {
            return null;
        }
        int before = faults.size();
        FileSection section = new FileSection(json, "trace", faults);
        section.rejectUnknownFields(FIELDS);
        Path folder = section.readFolder();
        long ring = section.readLong("ring", DEFAULT_RING, LEAST_RING, MOST_RING);
        return faults.size() > before ? null : new TraceSettings(folder, (int) ring);
    }
}
