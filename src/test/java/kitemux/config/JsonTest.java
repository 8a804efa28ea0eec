package kitemux.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how JSON values are read. */
class JsonTest {
    private static Json read(String text) throws IOException {
        return Json.read(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void valuesAreFoundByPath() throws IOException {
        Json json = read("""
                {"a":{"b":[1,{"c":"\\u00e9"}],"d":true,"e":null},"f":1.5,"g":-7}""");
        assertEquals("1", json.path("a").path("b").values().get(0).asText());
        assertEquals("é", json.path("a").path("b").values().get(1).path("c").asText());
        assertTrue(json.path("a").path("d").asBoolean());
        assertTrue(json.path("a").path("e").isMissing());
        assertEquals(1.5, json.path("f").asDouble(0));
        assertEquals(1, json.path("f").asLong(0));
        assertEquals(-7, json.path("g").asLong(0));
        assertEquals(List.of("a", "f", "g"), List.copyOf(json.fields().keySet()));
    }

    @Test
    void pathsBelowAMissingFieldAreMissing() throws IOException {
        Json missing = read("[1]").path("a").path("b");
        assertTrue(missing.isMissing());
        assertFalse(missing.isObject() || missing.isList() || missing.isLong() || missing.asBoolean());
        assertEquals("", missing.asText());
        assertEquals(3, missing.asLong(3));
        assertEquals(0.5, missing.asDouble(0.5));
        assertEquals(List.of(), missing.values());
    }

    @Test
    void numbersInStringsAreRead() throws IOException {
        Json json = read("{\"n\":\"12\",\"x\":\"1e400\",\"y\":\"NaN\",\"z\":\"twelve\"}");
        assertEquals(12, json.path("n").asLong(0));
        assertEquals(12, json.path("n").asDouble(0));
        assertEquals(9, json.path("x").asDouble(9));
        assertEquals(9, json.path("y").asLong(9));
        assertEquals(9, json.path("z").asLong(9));
    }

    @Test
    void onlyIntegersThatFitALongAreLong() throws IOException {
        Json json = read("[9223372036854775807,9223372036854775808,1.0,\"1\"]");
        assertEquals(
                List.of(true, false, false, false),
                json.values().stream().map(Json::isLong).toList());
        assertEquals(Long.MAX_VALUE, json.values().get(0).asLong(0));
    }

    @Test
    void lastOfDuplicateFieldsWins() throws IOException {
        assertEquals("2", read("{\"a\":1,\"a\":2}").path("a").asText());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " ", "{", "{\"a\"}", "[1,", "{\"a\":tru}", "nul", "{a:1}", "\"no end"})
    void invalidJsonIsRejectedWithItsPlace(String text) {
        String message = assertThrows(IOException.class, () -> read(text)).getMessage();
        assertTrue(text.isBlank() || message.contains(" at line 1, column "), message);
        assertFalse(message.contains("\n"), message);
    }

    @Test
    void deepNestingIsRejectedBeforeTheStackOverflows() throws IOException {
        String deepestAllowed = "[".repeat(Json.MAX_NESTING_DEPTH) + "]".repeat(Json.MAX_NESTING_DEPTH);
        assertTrue(read(deepestAllowed).isList());
        assertThrows(IOException.class, () -> read("[".repeat(1_000_000)));
    }
}
