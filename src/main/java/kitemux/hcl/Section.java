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
 * A block of a description, read field by field. What is missing, unknown or cannot be read is added to a
 * list of faults, one line each with the field's path and the reason, and reading goes on: all are told at
 * once.
 */
public final class Section {
    private static final Pattern TIME = Pattern.compile("(\\d+(?:\\.\\d+)?)(us|ms|s|m|h)");

    private final String path;
    private final Map<String, Object> fields;
    private final List<String> faults;
    private final Set<String> read = new TreeSet<>();

    /** A block, of the path by which faults name it; empty for a whole description. */
    public Section(String path, Map<String, Object> fields, List<String> faults) {
        this.path = path;
        this.fields = fields;
        this.faults = faults;
    }

    /** Whether a field or a block of this name is there. */
    public boolean has(String field) {
        return fields.containsKey(field);
    }

    /** The path by which faults name a field. */
    public String pathOf(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    private Object get(String field, boolean must) {
        read.add(field);
        Object value = fields.get(field);
        if (value == null && must) {
            faults.add(pathOf(field) + ": must be given");
        }
        return value;
    }

    /** A number; {@code otherwise} where it is not given, which is NaN where it must be. */
    public double number(String field, double otherwise) {
        Object value = get(field, Double.isNaN(otherwise));
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        if (value != null) {
            faults.add(pathOf(field) + ": must be a number, not " + shown(value));
        }
        return Double.isNaN(otherwise) ? 1 : otherwise;
    }

    /** A whole number, as {@link #number}. */
    public int integer(String field, double otherwise) {
        double number = number(field, otherwise);
        if (number != Math.rint(number) || Math.abs(number) > Integer.MAX_VALUE) {
            faults.add(pathOf(field) + ": must be a whole number, not " + number);
        }
        return (int) number;
    }

    /** A length of time with its unit, in microseconds; must be given where {@code otherwise} is under 0. */
    public long durationUs(String field, long otherwise) {
        Object value = get(field, otherwise < 0);
        if (value == null) {
            return otherwise < 0 ? 1 : otherwise;
        }
        long us = parseDurationUs(value.toString());
        if (us < 0) {
            faults.add(pathOf(field) + ": must be a time with its unit, such as \"300ms\", not " + shown(value));
            return 1;
        }
        return us;
    }

    /** A time with its unit, in microseconds; -1 where it is none. */
    public static long parseDurationUs(String text) {
        Matcher read = TIME.matcher(text);
        if (!read.matches()) {
            return -1;
        }
        double unit =
                switch (read.group(2)) {
                    case "us" -> 1;
                    case "ms" -> 1e3;
                    case "s" -> 1e6;
                    case "m" -> 60e6;
                    default -> 3_600e6;
                };
        return Math.round(Double.parseDouble(read.group(1)) * unit);
    }

    /** True or false. */
    public boolean bool(String field, boolean otherwise) {
        Object value = get(field, false);
        if (value != null && !(value instanceof Boolean)) {
            faults.add(pathOf(field) + ": must be true or false, not " + shown(value));
        }
        return value instanceof Boolean given ? given : otherwise;
    }

    /** One of the words that an enum has; must be given where {@code otherwise} is null. */
    public <E extends Enum<E>> E enumValue(String field, Class<E> of, E otherwise) {
        Object value = get(field, otherwise == null);
        E[] all = of.getEnumConstants();
        if (value == null) {
            return otherwise == null ? all[0] : otherwise;
        }
        List<String> words = new ArrayList<>();
        for (E one : all) {
            String word = one.name().toLowerCase(Locale.ROOT).replace('_', '-');
            words.add(word);
            if (word.equals(value)) {
                return one;
            }
        }
        faults.add(pathOf(field) + ": must be one of " + String.join(", ", words) + ", not " + shown(value));
        return all[0];
    }

    /** A text that must be given; empty where it is not. */
    public String text(String field) {
        Object value = get(field, true);
        if (value != null && (!(value instanceof String text) || text.isBlank())) {
            faults.add(pathOf(field) + ": must be a text, not " + shown(value));
        }
        return value instanceof String text ? text : "";
    }

    /** A text; {@code otherwise} where it is not given. */
    public String text(String field, String otherwise) {
        return get(field, false) == null ? otherwise : text(field);
    }

    /** The block of this name, or one without fields where it is not there. */
    public Section blockOrEmpty(String name) {
        Section of = block(name, false);
        return of == null ? new Section(pathOf(name), Map.of(), faults) : of;
    }

    /** A list of texts. */
    public List<String> texts(String field, List<String> otherwise) {
        return values(field)
                .map(all -> all.stream().map(String::valueOf).toList())
                .orElse(otherwise);
    }

    /** A list of numbers; empty where it is not given. */
    public List<Double> numbers(String field) {
        List<Double> found = new ArrayList<>();
        for (Object value : values(field).orElse(List.of())) {
            if (value instanceof Number number) {
                found.add(number.doubleValue());
            } else {
                faults.add(pathOf(field) + ": must hold numbers, not " + shown(value));
            }
        }
        return found;
    }

    private Optional<List<?>> values(String field) {
        Object value = get(field, false);
        if (value != null && !(value instanceof List<?>)) {
            faults.add(pathOf(field) + ": must be a list, not " + shown(value));
        }
        return value instanceof List<?> list ? Optional.of(list) : Optional.empty();
    }

    /** The block of this name, or an empty one where it is not there; null where it need not be. */
    public Section block(String name, boolean must) {
        Object value = get(name, must);
        if (value == null && !must) {
            return null;
        }
        return new Section(pathOf(name), map(name, value), faults);
    }

    /** All blocks of this type, by their labels, in order. */
    public Map<String, Section> labelledBlocks(String type, boolean must) {
        Map<String, Section> found = new LinkedHashMap<>();
        Object value = get(type, must);
        if (value != null) {
            map(type, value).forEach((label, fieldsOf) -> {
                String of = type + " \"" + label + "\"";
                found.put(label, new Section(pathOf(of), map(of, fieldsOf), faults));
            });
        }
        return found;
    }

    /** All blocks of this type, which have no label, in order. */
    public List<Section> repeatedBlocks(String type) {
        Object value = get(type, false);
        List<Section> found = new ArrayList<>();
        List<?> all = value == null ? List.of() : value instanceof List<?> list ? list : List.of(value);
        for (Object one : all) {
            String of = type + "[" + found.size() + "]";
            found.add(new Section(pathOf(of), map(of, one), faults));
        }
        return found;
    }

    private Map<String, Object> map(String of, Object value) {
        Map<String, Object> found = new LinkedHashMap<>();
        if (value instanceof Map<?, ?> map) {
            map.forEach((key, entry) -> found.put(key.toString(), entry));
        } else if (value != null) {
            faults.add(pathOf(of) + ": must be a block, not " + shown(value));
        }
        return found;
    }

    /** To be called once all is read: what is left over is not known. */
    public void reportUnknownFields() {
        for (String field : fields.keySet()) {
            if (!read.contains(field)) {
                faults.add(pathOf(field) + ": is not known here; known are " + String.join(", ", read));
            }
        }
    }

    private static String shown(Object value) {
        return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
    }
}
