package kitemux.app;

import java.util.List;
import java.util.Locale;
import kitemux.hcl.Section;

/**
 * A block of a description, read by the table of fields: what is not given is as the table says, and what
 * lies beyond
 * its range is told.
 */
final class BlockReader {
    private final String type;
    private final Section section;
    private final List<Finding> rangeFindings;

    /**
     * @param beyond gets a finding for each number that lies beyond its range
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
        // Not a number where the table's least is smaller than any: written so that it is told as well.
        if (!(value >= field.min() && value <= field.max())) {
            rangeFindings.add(new Finding(
                    field.rangeRule(), section.at(name), "is not " + field.range() + ": " + field.description()));
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
        return section.yes(name, Boolean.parseBoolean(field(name).defaultValue()));
    }

    double readNumber(String name) {
        String defaultValue = field(name).defaultValue();
        return checkRange(
                name, section.number(name, defaultValue == null ? Double.NaN : Double.parseDouble(defaultValue)));
    }

    int readInteger(String name) {
        return (int) checkRange(
                name, section.whole(name, Double.parseDouble(field(name).defaultValue())));
    }

    /** Microseconds. */
    long readDurationUs(String name) {
        String defaultValue = field(name).defaultValue();
        return (long) checkRange(name, section.time(name, defaultValue == null ? -1 : Section.us(defaultValue)));
    }

    <E extends Enum<E>> E readEnum(String name, Class<E> enumType) {
        String defaultValue = field(name).defaultValue();
        return section.word(
                name,
                enumType,
                defaultValue == null
                        ? null
                        : Enum.valueOf(
                                enumType, defaultValue.toUpperCase(Locale.ROOT).replace('-', '_')));
    }

    /** To be called once all is read. */
    void finish() {
        section.end();
    }
}
