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
 * How a journal is kept.
 *
 * @param folder where; made where it is not there
 * @param sync what a commit promises
 * @param syncDelayMs what nobody waits for is synced so long after it was written, unless it is never synced
 * @param commitTimeoutMs a send waits for its record no longer than this
 * @param segmentBytes after so many a segment is ended
 * @param segmentHours or when it was begun so long ago
 * @param retentionDays segments that ended so many days ago are taken away; 0 keeps them however old
 * @param maxTotalBytes the oldest are taken away while all together have more; 0 keeps them however many
 * @param classes of requests that are kept besides those that must never run twice
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
    private static final long MOST_DAYS = 36_500;
    private static final long MOST_KEPT_MIB = 1 << 20;
    private static final long MOST_MS = 60_000;
    /**
     * Smaller ones are all beginnings, and larger ones more than a node's memory has room to recover from.
     */
    private static final long LEAST_KIB = 64;

    private static final long MOST_KIB = 8 << 10;

    /**
     * Reads them, or null where there are none: no journal is kept then.
     *
     * @param known the classes that there are
     * @param faults one line is added for each that is found
     */
    public static OrderSettings read(Json json, List<RequestClass> known, List<String> faults) {
        if (json.isMissing()) {
            return null;
        }
        int before = faults.size();
        FileSection section = new FileSection(json, "orders", faults);
        section.onlyKnown(FIELDS);
        Path folder = section.folder();
        JournalWriter.SyncPolicy sync = sync(json.path("sync"), faults);
        long syncMs = section.within("syncMs", 20, 1, MOST_MS);
        long lateMs = section.within("lateMs", 100, 1, MOST_MS);
        long segment = section.within("segmentKiB", 4 << 10, LEAST_KIB, MOST_KIB);
        long hours = section.within("segmentHours", 24, 1, 24 * MOST_DAYS);
        long keepDays = section.within("keepDays", 0, 0, MOST_DAYS);
        long keepMiB = section.within("keepMiB", 0, 0, MOST_KEPT_MIB);
        Set<String> classes = classes(json.path("classes"), known, faults);
        return faults.size() > before
                ? null
                : new OrderSettings(
                        folder, sync, syncMs, lateMs, segment << 10, hours, keepDays, keepMiB << 20, classes);
    }

    private static JournalWriter.SyncPolicy sync(Json json, List<String> faults) {
        if (json.isMissing()) {
            return JournalWriter.SyncPolicy.EACH;
        }
        for (JournalWriter.SyncPolicy each : JournalWriter.SyncPolicy.values()) {
            if (each.name().toLowerCase(Locale.ROOT).equals(json.text())) {
                return each;
            }
        }
        faults.add("orders.sync is none of each, timed, never: " + json.text());
        return null;
    }

    private static Set<String> classes(Json json, List<RequestClass> known, List<String> faults) {
        if (!json.isMissing() && !json.isList()) {
            faults.add("orders.classes is not a list of names");
        }
        Set<String> names = new LinkedHashSet<>();
        for (Json name : json) {
            names.add(name.text());
            if (known.stream().noneMatch(each -> each.name().equals(name.text()))) {
                faults.add("orders.classes names one that is not there: " + name.text());
            }
        }
        return names;
    }
}
