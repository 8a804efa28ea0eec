package kitemux.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import java.io.IOException;
import java.io.StringWriter;
import java.math.BigDecimal;
import java.math.MathContext;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import kitemux.config.Json;

/**
 * What a stage measured, as it is kept: one file for each stage of a folder.
 *
 * @param stage by which it is asked for
 * @param facts where and of what it was measured: machine, commit, seed, sizes; and whether the run was late
 * @param rows what was measured, by the row's name and the column's
 */
record Results(String stage, Map<String, String> facts, Map<String, Map<String, Double>> rows) {
    private static final JsonFactory JSON = new JsonFactory();
    /** The fact that says that the run itself was late, so that its figures say little. */
    static final String LATE = "late";

    /** The fact that holds why a run broke off, so that its last rows are missing. */
    static final String BROKE_OFF = "broke_off";

    static Results of(String stage) {
        return new Results(stage, new LinkedHashMap<>(), new LinkedHashMap<>());
    }

    /** A figure, kept to four digits: more would tell of chance. */
    void put(String row, String column, double value) {
        rows.computeIfAbsent(row, name -> new LinkedHashMap<>()).put(column, digits(value));
    }

    private static double digits(double value) {
        return value == 0 || !Double.isFinite(value)
                ? 0
                : new BigDecimal(value).round(new MathContext(4)).doubleValue();
    }

    /** Whether the run says that it was late itself. */
    boolean isLate() {
        return "true".equals(facts.get(LATE));
    }

    /** Why the run broke off; null where it did not. */
    String brokeOff() {
        return facts.get(BROKE_OFF);
    }

    private static Path file(Path folder, String stage) {
        return folder.resolve(stage + ".json");
    }

    /**
     * Keeps them in a folder, in the place of earlier ones of the stage; whole or not at all. Those of a run
     * that broke off never take the place of a whole one: they are kept beside it.
     *
     * @return the file
     */
    Path keep(Path folder) throws IOException {
        Results before = brokeOff() == null ? null : read(folder, stage);
        Path file = file(folder, before != null && before.brokeOff() == null ? stage + ".broke-off" : stage);
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.setPrettyPrinter(new DefaultPrettyPrinter().withObjectIndenter(new DefaultIndenter("  ", "\n")));
            json.writeStartObject();
            json.writeStringField("stage", stage);
            json.writeObjectFieldStart("facts");
            for (Map.Entry<String, String> fact : facts.entrySet()) {
                json.writeStringField(fact.getKey(), fact.getValue());
            }
            json.writeEndObject();
            json.writeObjectFieldStart("rows");
            for (Map.Entry<String, Map<String, Double>> row : rows.entrySet()) {
                json.writeObjectFieldStart(row.getKey());
                for (Map.Entry<String, Double> cell : row.getValue().entrySet()) {
                    json.writeNumberField(cell.getKey(), cell.getValue());
                }
                json.writeEndObject();
            }
            json.writeEndObject();
            json.writeEndObject();
        }
        Files.createDirectories(folder);
        Path part = file(folder, stage + ".part");
        Files.writeString(part, text + "\n");
        return Files.move(part, file, StandardCopyOption.ATOMIC_MOVE);
    }

    /**
     * Those that a folder keeps of a stage; null where it keeps none.
     *
     * @throws IOException if they cannot be read; the message says what and where
     */
    static Results read(Path folder, String stage) throws IOException {
        byte[] text;
        try {
            text = Files.readAllBytes(file(folder, stage));
        } catch (NoSuchFileException e) {
            return null;
        }
        Json json;
        try {
            json = Json.read(text);
        } catch (IOException e) {
            throw new IOException(file(folder, stage) + ": " + e.getMessage(), e);
        }
        if (!json.path("stage").asText().equals(stage) || !json.path("rows").isObject()) {
            throw new IOException(file(folder, stage) + ": holds no results of " + stage);
        }
        Results results = of(stage);
        json.path("facts").fields().forEach((name, fact) -> results.facts.put(name, fact.asText()));
        json.path("rows").fields().forEach((row, cells) -> {
            Map<String, Double> read = new LinkedHashMap<>();
            cells.fields().forEach((column, cell) -> read.put(column, cell.asDouble(Double.NaN)));
            results.rows.put(row, read);
        });
        return results;
    }

    /** All that a folder keeps, of the stages that are asked for, by their names. */
    static Map<String, Results> all(Path folder, List<String> stages) throws IOException {
        Map<String, Results> all = new LinkedHashMap<>();
        for (String stage : new ArrayList<>(stages)) {
            Results kept = read(folder, stage);
            if (kept != null) {
                all.put(stage, kept);
            }
        }
        return all;
    }
}
