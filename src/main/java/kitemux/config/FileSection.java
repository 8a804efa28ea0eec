package kitemux.config;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;

/**
 * Reads the fields of one section of the operator's settings file. Each fault is added to a list as one line with field
 * and reason, and reading continues.
 */
public final class FileSection {
    private final Json json;
    private final String name;
    private final List<String> faults;

    /** Creates a reader of the section with this name, which prefixes its fields in faults. */
    public FileSection(Json json, String name, List<String> faults) {
        this.json = json;
        this.name = name;
        this.faults = faults;
    }

    /** Reports each field that is not in the given collection as a fault. */
    public void rejectUnknownFields(Collection<String> known) {
        json.fields().keySet().stream()
                .filter(field -> !known.contains(field))
                .sorted()
                .forEach(field -> faults.add(name + "." + field + " is not known; known are "
                        + String.join(", ", known.stream().sorted().toList())));
    }

    /** Returns the required field {@code folder}; null if it is missing or not a valid path, which is a fault. */
    public Path readFolder() {
        try {
            if (!json.path("folder").asText().isEmpty()) {
                return Path.of(json.path("folder").asText());
            }
            faults.add(name + ".folder is missing");
        } catch (InvalidPathException e) {
            faults.add(name + ".folder is not a valid path: " + e.getMessage());
        }
        return null;
    }

    /**
     * Returns a whole number, or {@code defaultValue} if the field is missing. A value outside {@code min} to {@code
     * max} is a fault.
     */
    public long readLong(String field, long defaultValue, long min, long max) {
        Json given = json.path(field);
        long value = given.isMissing() ? defaultValue : given.isLong() ? given.asLong(-1) : -1;
        if (value < min || value > max) {
            faults.add(name + "." + field + " is not a whole number from " + min + " to " + max);
        }
        return value;
    }
}
