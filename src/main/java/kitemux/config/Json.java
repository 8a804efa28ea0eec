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
 * An immutable JSON value (RFC 8259). Accessors of absent fields return a missing value, so a reader can follow a path
 * and need not check each step. The library's tree model costs each start a tenth of a second of CPU time for its
 * set-up; its token parser costs next to nothing.
 */
public final class Json implements Iterable<Json> {
    /**
     * Largest depth of nested values, deeper than any configuration. Without a limit, a line of brackets could exhaust
     * the thread's stack.
     */
    static final int MAX_NESTING_DEPTH = 64;
    /** The value of absent fields and of null. */
    private static final Json MISSING = new Json("", false, false);

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING_DEPTH)
                    .build())
            .build();

    /** A map, a list, or the text of a scalar. */
    private final Object value;

    private final boolean isLong;
    private final boolean isString;

    private Json(Object value, boolean isWhole, boolean isString) {
        this.value = value;
        this.isLong = isWhole;
        this.isString = isString;
    }

    /**
     * Reads the first value of a UTF-8 text; anything after it is ignored.
     *
     * @throws IOException if the text is empty, not JSON or nested too deeply; the message gives the fault and its
     *     place
     */
    public static Json read(byte[] text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() == null) {
                throw new IOException("the input is empty");
            }
            return value(parser);
        } catch (JsonProcessingException e) {
            // Exceptions about exceeded limits carry no location.
            JsonLocation location = e.getLocation();
            throw new IOException(
                    e.getOriginalMessage()
                            + (location == null
                                    ? ""
                                    : " at line " + location.getLineNr() + ", column " + location.getColumnNr()),
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

    /** Returns a field of an object; missing if the field is absent or this is not an object. */
    public Json path(String name) {
        return fields().getOrDefault(name, MISSING);
    }

    /** Returns the fields in their order; empty if this is not an object. */
    @SuppressWarnings("unchecked")
    public Map<String, Json> fields() {
        return isObject() ? (Map<String, Json>) value : Map.of();
    }

    /** Returns the values of a list; empty if this is not a list. */
    @SuppressWarnings("unchecked")
    public List<Json> values() {
        return isList() ? (List<Json>) value : List.of();
    }

    @Override
    public Iterator<Json> iterator() {
        return values().iterator();
    }

    /** Returns whether the value is absent or null. */
    public boolean isMissing() {
        return this == MISSING;
    }

    /** Returns whether this is an object. */
    public boolean isObject() {
        return value instanceof Map;
    }

    /** Returns whether this is a list. */
    public boolean isList() {
        return value instanceof List;
    }

    /** Returns whether this is a number written without a fraction that fits into a long. */
    public boolean isLong() {
        return isLong;
    }

    /** Returns whether this is a string; the other scalars are numbers, true and false. */
    public boolean isString() {
        return isString;
    }

    /** Returns a scalar as it is written; empty for all other values. */
    public String asText() {
        return value instanceof String text ? text : "";
    }

    /**
     * Returns a number, also one written as a string, without its fraction; {@code defaultValue} if this is no number.
     */
    public long asLong(long defaultValue) {
        try {
            return isLong ? Long.parseLong(asText()) : (long) parseFinite(asText());
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }

    /** Returns a number, also one written as a string; {@code defaultValue} if this is no number. */
    public double asDouble(double defaultValue) {
        try {
            return parseFinite(asText());
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }

    private static double parseFinite(String text) {
        double number = Double.parseDouble(text);
        if (!Double.isFinite(number)) {
            throw new NumberFormatException(text);
        }
        return number;
    }

    /** Returns whether the value is true; false for all other values. */
    public boolean asBoolean() {
        return asText().equals("true");
    }
}
