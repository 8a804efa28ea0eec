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
    private final List<Finding> beyond;

    /**
     * @param beyond gets a finding for each number that lies beyond its range
     */
    BlockReader(String type, Section section, List<Finding> beyond) {
        this.type = type;
        this.section = section;
        this.beyond = beyond;
    }

    private Field field(String name) {
        return Fields.get(type.isEmpty() ? name : type + "." + name);
    }

    private double within(String name, double value) {
        Field field = field(name);
        // Not a number where the table's least is smaller than any: written so that it is told as well.
        if (!(value >= field.min() && value <= field.max())) {
            beyond.add(new Finding(
                    field.rangeRule(), section.pathOf(name), "is not " + field.range() + ": " + field.description()));
        }
        return value;
    }

    String text(String name) {
        String otherwise = field(name).defaultValue();
        return otherwise == null ? section.text(name) : section.text(name, otherwise);
    }

    List<String> texts(String name) {
        field(name);
        return section.texts(name, List.of());
    }

    boolean yes(String name) {
        return section.bool(name, Boolean.parseBoolean(field(name).defaultValue()));
    }

    double number(String name) {
        String otherwise = field(name).defaultValue();
        return within(name, section.number(name, otherwise == null ? Double.NaN : Double.parseDouble(otherwise)));
    }

    int whole(String name) {
        return (int) within(
                name, section.integer(name, Double.parseDouble(field(name).defaultValue())));
    }

    /** Microseconds. */
    long time(String name) {
        String otherwise = field(name).defaultValue();
        return (long)
                within(name, section.durationUs(name, otherwise == null ? -1 : Section.parseDurationUs(otherwise)));
    }

    <E extends Enum<E>> E word(String name, Class<E> of) {
        String otherwise = field(name).defaultValue();
        return section.enumValue(
                name,
                of,
                otherwise == null
                        ? null
                        : Enum.valueOf(of, otherwise.toUpperCase(Locale.ROOT).replace('-', '_')));
    }

    /** To be called once all is read. */
    void end() {
        section.reportUnknownFields();
    }
}
