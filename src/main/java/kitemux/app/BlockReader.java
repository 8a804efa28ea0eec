package kitemux.app;

import java.util.List;
import java.util.Locale;
import kitemux.hcl.Section;

/**
 * Reads the fields of a block as {@link Fields} defines them: a missing field gets its default value, and a number
 * outside its range is reported.
 */
final class BlockReader {
    private final String type;
    private final Section section;
    private final List<Finding> rangeFindings;

    /**
     * Creates a reader.
     *
     * @param type type of the block; empty for the top level
     * @param section content of the block
     * @param rangeFindings receives a finding for each number outside its range
     */
    BlockReader(String type, Section section, List<Finding> rangeFindings) {
        this.type = type;
        this.section = section;
        this.rangeFindings = rangeFindings;
    }

    private Field field(String name) {
        return Fields.get(type.isEmpty() ? name : type + "." + name);
    }

    private double checkRange(String name, double value) {
        Field field = field(name);
        // Negated so that NaN is reported as well.
        if (!(value >= field.min() && value <= field.max())) {
            rangeFindings.add(new Finding(
                    field.rangeRule(), section.pathOf(name), "is not " + field.range() + ": " + field.description()));
        }
        return value;
    }

    String readText(String name) {
        String defaultValue = field(name).defaultValue();
        return defaultValue == null ? section.text(name) : section.text(name, defaultValue);
    }

    List<String> readTextList(String name) {
        field(name);
        return section.texts(name, List.of());
    }

    boolean readBoolean(String name) {
        return section.bool(name, Boolean.parseBoolean(field(name).defaultValue()));
    }

    double readNumber(String name) {
        String defaultValue = field(name).defaultValue();
        return checkRange(
                name, section.number(name, defaultValue == null ? Double.NaN : Double.parseDouble(defaultValue)));
    }

    int readInteger(String name) {
        return (int) checkRange(
                name, section.integer(name, Double.parseDouble(field(name).defaultValue())));
    }

    /** Reads a duration in microseconds. */
    long readDurationUs(String name) {
        String defaultValue = field(name).defaultValue();
        return (long) checkRange(
                name, section.durationUs(name, defaultValue == null ? -1 : Section.parseDurationUs(defaultValue)));
    }

    <E extends Enum<E>> E readEnum(String name, Class<E> enumType) {
        String defaultValue = field(name).defaultValue();
        return section.enumValue(
                name,
                enumType,
                defaultValue == null
                        ? null
                        : Enum.valueOf(
                                enumType, defaultValue.toUpperCase(Locale.ROOT).replace('-', '_')));
    }

    /** Reports the fields that have not been read as unknown; called after the last read. */
    void finish() {
        section.reportUnknownFields();
    }
}
