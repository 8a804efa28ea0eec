package kitemux.config;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;

/**
 * A section of the operator's own file, read field by field. What is wrong is added to a list of faults,
 * one line
 * each with field and reason, and reading goes on.
 */
public final class FileSection {
    private final Json json;
    private final String name;
    private final List<String> faults;

    /** A section of this name, by which faults call its fields. */
    public FileSection(Json json, String name, List<String> faults) {
        this.json = json;
        this.name = name;
        this.faults = faults;
    }

    /** All fields besides these are faults. */
    public void rejectUnknownFields(Collection<String> known) {
        json.fields().keySet().stream()
                .filter(field -> !known.contains(field))
                .sorted()
                .forEach(field -> faults.add(name + "." + field + " is not known; known are "
                        + String.join(", ", known.stream().sorted().toList())));
    }

    /** The field {@code folder}, which must be there; null where it is not, or is no path. */
    public Path readFolder() {
        try {
            if (!json.path("folder").asText().isEmpty()) {
                return Path.of(json.path("folder").asText());
            }
            faults.add(name + ".folder is missing");
        } catch (InvalidPathException e) {
            faults.add(name + ".folder is no path: " + e.getMessage());
        }
        return null;
    }

    /** A whole number within a range; {@code otherwise} where it is not given. */
    public long readLong(String field, long otherwise, long least, long most) {
        Json given = json.path(field);
        long value = given.isMissing() ? otherwise : given.isLong() ? given.asLong(-1) : -1;
        if (value < least || value > most) {
            faults.add(name + "." + field + " is not a whole number from " + least + " to " + most);
        }
        return value;
    }
}
