package kitemux.hcl;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Typed access to the fields of one block of an HCL file. Missing, unknown and invalid fields are added to a list
 * of faults, one line each with the field's path and the reason. Reading then continues with a substitute value, so
 * that all faults are reported at once.
 */
public final class Section {
    private static final Pattern DURATION = Pattern.compile("(\\d+(?:\\.\\d+)?)(us|ms|s|m|h)");

    private final String path;
    private final Map<String, Object> fields;
    private final List<String> faults;
    private final Set<String> readFields = new TreeSet<>();

    /**
     * Creates a reader for one block.
     *
     * @param path path of the block in fault messages; empty for the whole file
     * @param fields parsed values by field name or block type
     * @param faults list that receives the faults
     */
    public Section(String path, Map<String, Object> fields, List<String> faults) {
        this.path = path;
        this.fields = fields;
        this.faults = faults;
    }

    /** Whether the block contains a field or block of this name. */
    public boolean has(String field) {
        return fields.containsKey(field);
    }

    /** Returns the path of a field in fault messages. */
    public String pathOf(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    private Object get(String field, boolean required) {
        readFields.add(field);
        Object value = fields.get(field);
        if (value == null && required) {
            faults.add(pathOf(field) + ": must be given");
        }
        return value;
    }

    /**
     * Reads a number.
     *
     * @param defaultValue value of a missing field; NaN makes the field required
     */
    public double number(String field, double defaultValue) {
        Object value = get(field, Double.isNaN(defaultValue));
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        if (value != null) {
            faults.add(pathOf(field) + ": must be a number, not " + format(value));
        }
        return Double.isNaN(defaultValue) ? 1 : defaultValue;
    }

    /**
     * Reads a whole number whose absolute value fits in an {@code int}.
     *
     * @param defaultValue value of a missing field; NaN makes the field required
     */
    public int integer(String field, double defaultValue) {
        double number = number(field, defaultValue);
        if (number != Math.rint(number) || Math.abs(number) > Integer.MAX_VALUE) {
            faults.add(pathOf(field) + ": must be a whole number, not " + number);
        }
        return (int) number;
    }

    /**
     * Reads a duration such as {@code "300ms"}.
     *
     * @param defaultValue microseconds for a missing field; a negative value makes the field required
     * @return the duration in microseconds
     */
    public long durationUs(String field, long defaultValue) {
        Object value = get(field, defaultValue < 0);
        if (value == null) {
            return defaultValue < 0 ? 1 : defaultValue;
        }
        long us = parseDurationUs(value.toString());
        if (us < 0) {
            faults.add(pathOf(field) + ": must be a time with its unit, such as \"300ms\", not " + format(value));
            return 1;
        }
        return us;
    }

    /**
     * Parses a non-negative decimal number followed by {@code us}, {@code ms}, {@code s}, {@code m} or {@code h}.
     *
     * @return the duration in microseconds, or -1 if the text is not a duration
     */
    public static long parseDurationUs(String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            return -1;
        }
        double unitUs =
                switch (matcher.group(2)) {
                    case "us" -> 1;
                    case "ms" -> 1e3;
                    case "s" -> 1e6;
                    case "m" -> 60e6;
                    default -> 3_600e6;
                };
        return Math.round(Double.parseDouble(matcher.group(1)) * unitUs);
    }

    /** Reads an optional boolean. */
    public boolean bool(String field, boolean defaultValue) {
        Object value = get(field, false);
        if (value != null && !(value instanceof Boolean)) {
            faults.add(pathOf(field) + ": must be true or false, not " + format(value));
        }
        return value instanceof Boolean given ? given : defaultValue;
    }

    /**
     * Reads an enum constant, written in lower case with hyphens in place of underscores.
     *
     * @param defaultValue value of a missing field; null makes the field required
     */
    public <E extends Enum<E>> E enumValue(String field, Class<E> type, E defaultValue) {
        Object value = get(field, defaultValue == null);
        E[] constants = type.getEnumConstants();
        if (value == null) {
            return defaultValue == null ? constants[0] : defaultValue;
        }
        List<String> allowedWords = new ArrayList<>();
        for (E constant : constants) {
            String word = constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
            allowedWords.add(word);
            if (word.equals(value)) {
                return constant;
            }
        }
        faults.add(pathOf(field) + ": must be one of " + String.join(", ", allowedWords) + ", not " + format(value));
        return constants[0];
    }

    /** Reads a required string that must not be blank; returns an empty string if it is missing or has another type. */
    public String text(String field) {
        Object value = get(field, true);
        if (value != null && (!(value instanceof String text) || text.isBlank())) {
            faults.add(pathOf(field) + ": must be a non-blank string, not " + format(value));
        }
        return value instanceof String text ? text : "";
    }

    /** Reads an optional string that must not be blank. */
    public String text(String field, String defaultValue) {
        return get(field, false) == null ? defaultValue : text(field);
    }

    /** Returns the block of this name, or a block without fields if it is missing. */
    public Section blockOrEmpty(String name) {
        Section block = block(name, false);
        return block == null ? new Section(pathOf(name), Map.of(), faults) : block;
    }

    /** Reads an optional list of strings; elements of other types are converted to strings. */
    public List<String> texts(String field, List<String> defaultValue) {
        return list(field)
                .map(values -> values.stream().map(String::valueOf).toList())
                .orElse(defaultValue);
    }

    /** Reads a list of numbers; returns an empty list if the field is missing. */
    public List<Double> numbers(String field) {
        List<Double> numbers = new ArrayList<>();
        for (Object value : list(field).orElse(List.of())) {
            if (value instanceof Number number) {
                numbers.add(number.doubleValue());
            } else {
                faults.add(pathOf(field) + ": must contain only numbers, not " + format(value));
            }
        }
        return numbers;
    }

    private Optional<List<?>> list(String field) {
        Object value = get(field, false);
        if (value != null && !(value instanceof List<?>)) {
            faults.add(pathOf(field) + ": must be a list, not " + format(value));
        }
        return value instanceof List<?> list ? Optional.of(list) : Optional.empty();
    }

    /**
     * Returns the block of this name. If it is missing, returns null for an optional block and a block without fields
     * for a required one.
     */
    public Section block(String name, boolean required) {
        Object value = get(name, required);
        if (value == null && !required) {
            return null;
        }
        return new Section(pathOf(name), blockFields(name, value), faults);
    }

    /** Returns all blocks of this type by label, in the order of the file. */
    public Map<String, Section> labelledBlocks(String type, boolean required) {
        Map<String, Section> blocks = new LinkedHashMap<>();
        Object value = get(type, required);
        if (value != null) {
            blockFields(type, value).forEach((label, block) -> {
                String blockName = type + " \"" + label + "\"";
                blocks.put(label, new Section(pathOf(blockName), blockFields(blockName, block), faults));
            });
        }
        return blocks;
    }

    /** Returns all blocks of this type, which carry no label, in the order of the file. */
    public List<Section> repeatedBlocks(String type) {
        Object value = get(type, false);
        List<Section> blocks = new ArrayList<>();
        List<?> values = value == null ? List.of() : value instanceof List<?> list ? list : List.of(value);
        for (Object block : values) {
            String blockName = type + "[" + blocks.size() + "]";
            blocks.add(new Section(pathOf(blockName), blockFields(blockName, block), faults));
        }
        return blocks;
    }

    private Map<String, Object> blockFields(String name, Object value) {
        Map<String, Object> entries = new LinkedHashMap<>();
        if (value instanceof Map<?, ?> map) {
            map.forEach((key, entry) -> entries.put(key.toString(), entry));
        } else if (value != null) {
            faults.add(pathOf(name) + ": must be a block, not " + format(value));
        }
        return entries;
    }

    /** Adds a fault for each field that has not been read. Must be called after all known fields have been read. */
    public void reportUnknownFields() {
        for (String field : fields.keySet()) {
            if (!readFields.contains(field)) {
                faults.add(pathOf(field) + ": is not known here; known are " + String.join(", ", readFields));
            }
        }
    }

    private static String format(Object value) {
        return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
    }
}
