package kitemux.drill;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A line of a time-line as it was read: fields by their names. */
record Event(Map<String, Object> fields) {
    private static final JsonFactory JSON = new JsonFactory();

    /**
     * Reads a line.
     *
     * @throws IOException if it is no JSON object with a time and a kind
     */
    static Event read(String line) throws IOException {
        try (JsonParser json = JSON.createParser(line)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new JsonParseException(json, "is no object");
            }
            Event event = new Event(object(json));
            if (!(event.fields.get("t") instanceof Number) || !(event.fields.get("e") instanceof String)) {
                throw new JsonParseException(json, "has no time t, or no kind e");
            }
            return event;
        }
    }

    private static Map<String, Object> object(JsonParser json) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            json.nextToken();
            fields.put(name, value(json));
        }
        return fields;
    }

    private static Object value(JsonParser json) throws IOException {
        return switch (json.currentToken()) {
            case START_OBJECT -> object(json);
            case START_ARRAY -> {
                List<Object> all = new ArrayList<>();
                while (json.nextToken() != JsonToken.END_ARRAY) {
                    all.add(value(json));
                }
                yield all;
            }
            case VALUE_NUMBER_INT -> json.getLongValue();
            case VALUE_NUMBER_FLOAT -> json.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_STRING -> json.getText();
            default -> throw new JsonParseException(json, "holds " + json.currentToken());
        };
    }

    long atUs() {
        return number("t");
    }

    String kind() {
        return text("e");
    }

    long number(String field) {
        return (long) real(field);
    }

    double real(String field) {
        return fields.get(field) instanceof Number number ? number.doubleValue() : 0;
    }

    String text(String field) {
        return String.valueOf(fields.get(field));
    }

    boolean flag(String field) {
        return Boolean.TRUE.equals(fields.get(field));
    }

    /** An object within this one, by its fields. */
    Map<String, Object> fields(String field) {
        Map<String, Object> found = new LinkedHashMap<>();
        if (fields.get(field) instanceof Map<?, ?> map) {
            map.forEach((key, of) -> found.put(key.toString(), of));
        }
        return found;
    }

    Event part(String field) {
        return new Event(fields(field));
    }

    private List<?> list(String field) {
        return fields.get(field) instanceof List<?> list ? list : List.of();
    }

    List<Event> events(String field) {
        List<Event> found = new ArrayList<>();
        for (Object one : list(field)) {
            Map<String, Object> of = new LinkedHashMap<>();
            if (one instanceof Map<?, ?> map) {
                map.forEach((key, value) -> of.put(key.toString(), value));
            }
            found.add(new Event(of));
        }
        return found;
    }

    List<String> texts(String field) {
        return list(field).stream().map(String::valueOf).toList();
    }

    List<Long> numbers(String field) {
        return list(field).stream()
                .filter(Number.class::isInstance)
                .map(n -> ((Number) n).longValue())
                .toList();
    }
}
