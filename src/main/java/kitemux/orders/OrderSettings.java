package kitemux.orders;

import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import kitemux.Balancer.RequestClass;
import kitemux.config.FileSection;
import kitemux.config.Json;

/**
 * Settings of the order journal.
 *
 * @param folder the journal's folder; created if it does not exist
 * @param sync when entries are synced to the disk
 * @param syncDelayMs how long after they were written entries are synced for which nobody waits, unless they
 *     are never synced
 * @param commitTimeoutMs how long a send waits for its entry to become durable before it is refused
 * @param segmentBytes the size at which a segment ends
 * @param segmentHours the age at which a segment ends
 * @param retentionDays how many days after its end a segment is deleted; 0 disables deletion by age
 * @param maxTotalBytes the size of all segments above which the oldest are deleted; 0 disables deletion by size
 * @param classes the request classes that are recorded besides those that must never run twice
 */
public record OrderSettings(
        Path folder,
        JournalWriter.SyncPolicy sync,
        long syncDelayMs,
        long commitTimeoutMs,
        long segmentBytes,
        long segmentHours,
        long retentionDays,
        long maxTotalBytes,
        Set<String> classes) {
    private static final Set<String> FIELDS = Set.of(
            "folder", "sync", "syncMs", "lateMs", "segmentKiB", "segmentHours", "keepDays", "keepMiB", "classes");
    private static final long MAX_AGE_DAYS = 36_500;
    private static final long MAX_TOTAL_MIB = 1 << 20;
    private static final long MAX_DELAY_MS = 60_000;
    /** Smallest segment; a smaller one would mostly hold its header and checkpoint. */
    private static final long MIN_SEGMENT_KIB = 64;

    /** Largest segment; recovery reads a whole segment into the memory of a node. */
    private static final long MAX_SEGMENT_KIB = 8 << 10;

    /**
     * Reads the settings.
     *
     * @param knownClasses the request classes that are defined
     * @param faults receives one line for each fault
     * @return the settings, or null if there are faults or the section is missing; no journal is written then
     */
    public static OrderSettings read(Json json, List<RequestClass> knownClasses, List<String> faults) {
        if (json.isMissing()) {
            return null;
        }
        int faultsBefore = faults.size();
        FileSection section = new FileSection(json, "orders", faults);
        section.rejectUnknownFields(FIELDS);
        Path folder = section.readFolder();
        JournalWriter.SyncPolicy sync = readSync(json.path("sync"), faults);
        long syncDelayMs = section.readLong("syncMs", 20, 1, MAX_DELAY_MS);
        long commitTimeoutMs = section.readLong("lateMs", 100, 1, MAX_DELAY_MS);
        long segmentKiB = section.readLong("segmentKiB", 4 << 10, MIN_SEGMENT_KIB, MAX_SEGMENT_KIB);
        long segmentHours = section.readLong("segmentHours", 24, 1, 24 * MAX_AGE_DAYS);
        long retentionDays = section.readLong("keepDays", 0, 0, MAX_AGE_DAYS);
        long maxTotalMiB = section.readLong("keepMiB", 0, 0, MAX_TOTAL_MIB);
        Set<String> classes = readClasses(json.path("classes"), knownClasses, faults);
        return faults.size() > faultsBefore
                ? null
                : new OrderSettings(
                        folder,
                        sync,
                        syncDelayMs,
                        commitTimeoutMs,
                        segmentKiB << 10,
                        segmentHours,
                        retentionDays,
                        maxTotalMiB << 20,
                        classes);
    }

    private static JournalWriter.SyncPolicy readSync(Json json, List<String> faults) {
        if (json.isMissing()) {
            return JournalWriter.SyncPolicy.EACH;
        }
        for (JournalWriter.SyncPolicy candidate : JournalWriter.SyncPolicy.values()) {
            if (candidate.name().toLowerCase(Locale.ROOT).equals(json.asText())) {
                return candidate;
            }
        }
        faults.add("orders.sync must be each, timed or never, but is " + json.asText());
        return null;
    }

    private static Set<String> readClasses(Json json, List<RequestClass> knownClasses, List<String> faults) {
        if (!json.isMissing() && !json.isList()) {
            faults.add("orders.classes must be a list of names");
        }
        Set<String> names = new LinkedHashSet<>();
        for (Json name : json) {
            names.add(name.asText());
            if (knownClasses.stream().noneMatch(candidate -> candidate.name().equals(name.asText()))) {
                faults.add("orders.classes names an unknown class: " + name.asText());
            }
        }
        return names;
    }
}
