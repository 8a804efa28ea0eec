package kitemux.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON value (RFC 8259) as it was read. What is asked of a value that has no such thing is missing, and so
 * on down, so that a reader names the field once and need not look at each step. The library's own trees cost
 * a start a tenth of a second of processor in set-up; its tokens cost none to speak of.
 */
public final class Json implements Iterable<Json> {
    /** Deeper than any configuration; else a line of brackets could use up a thread's stack. */
    static final int MAX_NESTING_DEPTH = 64;
    /** What was not there, and null. */
    private static final Json MISSING = new Json("", false, false);

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING_DEPTH)
                    .build())
            .build();

    /** A map, a list or the text of a plain value. */
    private final Object value;

    private final boolean isLong;
    private final boolean isString;

    private Json(Object value, boolean isWhole, boolean isString) {
        this.value = value;
        this.isLong = isWhole;
        this.isString = isString;
    }

    /**
     * Reads the first value of a text in UTF-8; what stands behind it is not looked at.
     *
     * @throws IOException if it is not JSON, nested too deeply or empty; the message says what and where
     */
    public static Json read(byte[] text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() == null) {
                throw new IOException("nothing is there");
            }
            return value(parser);
        } catch (JsonProcessingException e) {
            // What is too much of a thing is told without its place.
            JsonLocation at = e.getLocation();
            throw new IOException(
                    e.getOriginalMessage()
                            + (at == null ? "" : " at line " + at.getLineNr() + ", column " + at.getColumnNr()),
                    e);
        }
    }

    private static Json value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> {
                Map<String, Json> fields = new LinkedHashMap<>();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    parser.nextToken();
                    fields.put(name, value(parser));
                }
                yield new Json(fields, false, false);
            }
            case START_ARRAY -> {
                List<Json> values = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    values.add(value(parser));
                }
                yield new Json(values, false, false);
            }
            case VALUE_NULL -> MISSING;
            case VALUE_NUMBER_INT ->
                new Json(parser.getText(), parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER, false);
            case VALUE_STRING -> new Json(parser.getText(), false, true);
            default -> new Json(parser.getText(), false, false);
        };
    }

    /** A field of an object; missing if there is none, or this is no object. */
    public Json path(String name) {
        return fields().getOrDefault(name, MISSING);
    }

    /** Fields in their order; none if this is no object. */
    @SuppressWarnings("unchecked")
    public Map<String, Json> fields() {
        return isObject() ? (Map<String, Json>) value : Map.of();
    }

    /** Values of a list; none if this is no list. */
    @SuppressWarnings("unchecked")
    public List<Json> values() {
        return isList() ? (List<Json>) value : List.of();
    }

    @Override
    public Iterator<Json> iterator() {
        return values().iterator();
    }

    /** Whether it was not there, or null. */
    public boolean isMissing() {
        return this == MISSING;
    }

    /** Whether it has fields. */
    public boolean isObject() {
        return value instanceof Map;
    }

    /** Whether it is a list. */
    public boolean isList() {
        return value instanceof List;
    }

    /** Whether it is a number written without a fraction, and a long can hold it. */
    public boolean isLong() {
        return isLong;
    }

    /** Whether it is a string; other plain values are numbers, true and false. */
    public boolean isString() {
        return isString;
    }

    /** A plain value as it is written; empty for all others. */
    public String asText() {
        return value instanceof String text ? text : "";
    }

    /** A number less its fraction, also one that is written as a string. */
    public long asLong(long otherwise) {
        try {
            return isLong ? Long.parseLong(asText()) : (long) finite(asText());
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }

    /** A number, also one that is written as a string. */
    public double asDouble(double otherwise) {
        try {
            return finite(asText());
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }

    private static double finite(String text) {
        double number = Double.parseDouble(text);
        if (!Double.isFinite(number)) {
            throw new NumberFormatException(text);
        }
        return number;
    }

    /** Whether it is true; all else is not. */
    public boolean asBoolean() {
        return asText().equals("true");
    }
}
