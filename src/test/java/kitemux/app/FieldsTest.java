package kitemux.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import kitemux.config.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** The one table of fields: what is read, told and drawn from it. */
class FieldsTest {
    /** A description in which each block stands, with what must be given. */
    private static final String LEAST = "name = \"a\"\nlisten = \"127.0.0.1:8080\"\nquota = 10\n"
            + "server \"server-0\" {\n  address = \"127.0.0.1:9001\"\n}\n"
            + "pool \"pool-0\" {\n  servers = [\"server-0\"]\n}\n"
            + "class \"class-0\" {\n  again = \"safe\"\n  aim = \"200ms\"\n  deadline = \"1s\"\n}\n"
            + "tenant \"tenant-0\" {\n  share = 1\n}\n";

    /** The same with one field as it is given. */
    private static String with(Field field, String value) {
        String line = field.name() + " = " + value + "\n";
        String given = "(?m)^ *" + field.name() + " = .*\n";
        if (field.block().isEmpty()) {
            return LEAST.replaceFirst(given, "") + line;
        }
        if (!Fields.isLabelled(field.block())) {
            return LEAST + field.block() + " {\n  " + line + "}\n";
        }
        String begins = field.block() + " \"" + field.block() + "-0\" {\n";
        int from = LEAST.indexOf(begins) + begins.length();
        int to = LEAST.indexOf("}\n", from);
        return LEAST.substring(0, from) + LEAST.substring(from, to).replaceFirst(given, "") + "  " + line
                + LEAST.substring(to);
    }

    private static String number(Field field, double value) {
        return field.kind() == Field.Kind.DURATION
                ? "\"" + Math.round(value) + "us\""
                : value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    static Stream<Field> bounded() {
        return Fields.all().stream().filter(field -> !Double.isInfinite(field.min()));
    }

    private static List<String> findings(String text) {
        return AppParser.parse(text).findings().stream().map(Finding::format).toList();
    }

    private static boolean isTold(Field field, String text) {
        return findings(text).stream()
                .anyMatch(line ->
                        line.contains(field.name() + ": " + field.rangeRule().code() + " is not " + field.range()));
    }

    @ParameterizedTest
    @MethodSource("bounded")
    void whatLiesBeyondARangeIsToldAndItsEndsAreNot(Field field) {
        double step = field.kind() == Field.Kind.NUMBER ? 0.001 : 1;
        double least = field.min() == Double.MIN_NORMAL ? 0.001 : field.min();
        assertFalse(isTold(field, with(field, number(field, least))), () -> "least of " + field);
        // A time cannot be written that is under 0.
        if (field.kind() != Field.Kind.DURATION || field.min() > 0) {
            assertTrue(isTold(field, with(field, number(field, least - step))), () -> "under the least of " + field);
        }
        if (!Double.isInfinite(field.max())) {
            assertFalse(isTold(field, with(field, number(field, field.max()))), () -> "most of " + field);
            assertTrue(
                    isTold(field, with(field, number(field, field.max() + step))), () -> "over the most of " + field);
        }
    }

    @Test
    void defaultsLieInTheirRangesAndWhatMustBeGivenIsAskedFor() {
        assertEquals(List.of(), findings(LEAST));
        for (Field field : Fields.all()) {
            if (field.defaultValue() == null && field.block().isEmpty()) {
                String without = LEAST.replaceFirst("(?m)^" + field.name() + " = .*\n", "");
                assertTrue(
                        findings(without).contains(field.name() + ": KX001 must be given; " + Rule.SHAPE.remedy()),
                        findings(without)::toString);
            }
            String unlike =
                    switch (field.kind()) {
                        case TEXT, ADDRESS, DURATION, ENUM, TEXT_LIST -> "7";
                        case NUMBER, INTEGER, BOOLEAN -> "\"seven\"";
                    };
            assertTrue(
                    findings(with(field, unlike)).stream()
                            .anyMatch(line -> line.contains(field.name()) && line.contains("KX001 must be")),
                    () -> field + ": " + findings(with(field, unlike)));
        }
    }

    @Test
    void thePageAndTheSchemaInTheRepositoryAreOfThisTable() throws IOException {
        assertEquals(
                Files.readString(Path.of("docs", "operate", "fields.md")),
                FieldReference.toMarkdown(),
                "make it anew: config reference > docs/operate/fields.md");
        assertEquals(
                Files.readString(Path.of("docs", "schema", "application.schema.json")),
                FieldReference.toJsonSchema(),
                "make it anew: config schema > docs/schema/application.schema.json");
        Json schema = Json.read(FieldReference.toJsonSchema().getBytes(StandardCharsets.UTF_8));
        for (Field field : Fields.all()) {
            Json properties = schema.path("properties");
            if (!field.block().isEmpty()) {
                properties = properties.path(field.block());
                properties = (Fields.isLabelled(field.block()) ? properties.path("additionalProperties") : properties)
                        .path("properties");
            }
            assertEquals(
                    field.description(),
                    properties.path(field.name()).path("description").asText(),
                    field.key());
        }
    }

    @Test
    void aFieldIsExplainedByItsKeyItsNameOrItsBlock() {
        assertEquals(
                "limits.attempts: whole number, from 1 to 16, default 4. of one request; more " + "would feed a storm",
                FieldReference.describe(Fields.get("limits.attempts")));
        assertEquals(
                List.of("class.attempts", "limits.attempts"),
                Fields.findSimilar("attempts").stream().map(Field::key).toList());
        assertEquals(Fields.inBlock("health"), Fields.findSimilar("health"));
        assertEquals(List.of(), Fields.findSimilar("wisdom"));
        assertThrows(IllegalArgumentException.class, () -> Fields.get("wisdom"));
    }

    @Test
    void whatIsBegunWithIsSoundForEachKind() {
        for (String kind : StarterTemplates.KINDS) {
            assertEquals(List.of(), findings(StarterTemplates.render(kind, "desk")), kind);
        }
        assertThrows(IllegalArgumentException.class, () -> StarterTemplates.render("mysql", "desk"));
    }

    @Test
    void whatIsFoundIsToldAsJsonAndAsSarifWithItsPlace() throws IOException {
        String text = LEAST.replace("\"200ms\"", "\"2s\"").replace("\"127.0.0.1:9001\"", "\"web:9001\"");
        List<FindingReport.LocatedFinding> found =
                new ArrayList<>(FindingReport.locate("a.hcl", AppParser.parse(text)));
        Json json = Json.read(FindingReport.toJson(found).getBytes(StandardCharsets.UTF_8));
        assertEquals(
                List.of("KX301", "KX401"),
                json.values().stream()
                        .map(one -> one.path("code").asText())
                        .sorted()
                        .toList());
        for (Json one : json) {
            assertEquals("a.hcl", one.path("file").asText());
            String line = text.lines().toList().get((int) one.path("line").asLong(0) - 1);
            assertTrue(line.contains(one.path("code").asText().equals("KX301") ? "aim" : "address"), line);
            assertTrue(!one.path("cure").asText().isEmpty()
                    && !one.path("what").asText().isEmpty());
        }
        Json run = Json.read(FindingReport.toSarif(found).getBytes(StandardCharsets.UTF_8))
                .path("runs")
                .values()
                .get(0);
        List<Json> rules = run.path("tool").path("driver").path("rules").values();
        assertEquals(2, run.path("results").values().size());
        for (Json result : run.path("results")) {
            assertEquals(
                    result.path("ruleId").asText(),
                    rules.get((int) result.path("ruleIndex").asLong(-1))
                            .path("id")
                            .asText());
            Json place = result.path("locations").values().get(0).path("physicalLocation");
            assertEquals("a.hcl", place.path("artifactLocation").path("uri").asText());
            assertTrue(place.path("region").path("startLine").asLong(0) > 3);
        }
    }
}
