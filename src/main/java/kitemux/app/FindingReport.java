package kitemux.app;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reports findings in machine-readable formats: JSON, or SARIF 2.1.0, which code hosts and editors display.
 */
public final class FindingReport {
    private static final Pattern POSITION_PATTERN = Pattern.compile("(?s)(.*):(\\d+):(\\d+): (.*)");

    /**
     * A finding with its position in a file.
     *
     * @param file path of the file
     * @param line line, from 1; 0 if it is unknown
     * @param column column, from 1; 0 if it is unknown
     */
    public record LocatedFinding(String file, int line, int column, Finding finding) {}

    private FindingReport() {}

    /** Returns the findings in a file with their positions, where they are known. */
    public static List<LocatedFinding> locate(String file, AppParser.Result result) {
        return result.findings().stream()
                .map(finding -> {
                    String line = finding.location().matches("\\d+:\\d+")
                            ? file + ":" + finding.format()
                            : result.places().withLocation(file, finding.format());
                    Matcher position = POSITION_PATTERN.matcher(line);
                    boolean hasPosition =
                            position.matches() && position.group(1).equals(file);
                    return new LocatedFinding(
                            file,
                            hasPosition ? Integer.parseInt(position.group(2)) : 0,
                            hasPosition ? Integer.parseInt(position.group(3)) : 0,
                            finding);
                })
                .toList();
    }

    /** Writes the content of a JSON document. */
    private interface JsonBody {
        void write(JsonGenerator generator) throws IOException;
    }

    private static String writeJson(JsonBody body) {
        StringWriter output = new StringWriter();
        try (JsonGenerator generator = new JsonFactory().createGenerator(output)) {
            generator.useDefaultPrettyPrinter();
            body.write(generator);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return output.toString();
    }

    /** Formats findings as a JSON array of objects. */
    public static String toJson(List<LocatedFinding> findings) {
        return writeJson(generator -> {
            generator.writeStartArray();
            for (LocatedFinding located : findings) {
                Finding finding = located.finding;
                generator.writeStartObject();
                generator.writeStringField("code", finding.rule().code());
                generator.writeStringField("file", located.file);
                generator.writeNumberField("line", located.line);
                generator.writeNumberField("column", located.column);
                generator.writeStringField("field", finding.location());
                generator.writeStringField("what", finding.message());
                generator.writeStringField("cure", finding.rule().remedy());
                generator.writeEndObject();
            }
            generator.writeEndArray();
        });
    }

    /** Formats findings as a SARIF log of one run. */
    public static String toSarif(List<LocatedFinding> findings) {
        return writeJson(generator -> {
            generator.writeStartObject();
            generator.writeStringField("$schema", "https://json.schemastore.org/sarif-2.1.0.json");
            generator.writeStringField("version", "2.1.0");
            generator.writeArrayFieldStart("runs");
            generator.writeStartObject();
            generator.writeObjectFieldStart("tool");
            generator.writeObjectFieldStart("driver");
            generator.writeStringField("name", "kitemux config");
            generator.writeArrayFieldStart("rules");
            for (Rule rule : Rule.values()) {
                generator.writeStartObject();
                generator.writeStringField("id", rule.code());
                writeMessage(generator, "shortDescription", rule.description());
                writeMessage(generator, "help", rule.remedy());
                generator.writeEndObject();
            }
            generator.writeEndArray();
            generator.writeEndObject();
            generator.writeEndObject();
            generator.writeArrayFieldStart("results");
            for (LocatedFinding located : findings) {
                writeResult(generator, located);
            }
            generator.writeEndArray();
            generator.writeEndObject();
            generator.writeEndArray();
            generator.writeEndObject();
        });
    }

    private static void writeMessage(JsonGenerator generator, String field, String text) throws IOException {
        generator.writeObjectFieldStart(field);
        generator.writeStringField("text", text);
        generator.writeEndObject();
    }

    private static void writeResult(JsonGenerator generator, LocatedFinding located) throws IOException {
        Finding finding = located.finding;
        generator.writeStartObject();
        generator.writeStringField("ruleId", finding.rule().code());
        generator.writeNumberField("ruleIndex", finding.rule().ordinal());
        generator.writeStringField("level", "error");
        writeMessage(
                generator,
                "message",
                (finding.location().isEmpty() ? "" : finding.location() + ": ") + finding.message() + "; "
                        + finding.rule().remedy());
        generator.writeArrayFieldStart("locations");
        generator.writeStartObject();
        generator.writeObjectFieldStart("physicalLocation");
        generator.writeObjectFieldStart("artifactLocation");
        generator.writeStringField("uri", located.file);
        generator.writeEndObject();
        if (located.line > 0) {
            generator.writeObjectFieldStart("region");
            generator.writeNumberField("startLine", located.line);
            generator.writeNumberField("startColumn", located.column);
            generator.writeEndObject();
        }
        generator.writeEndObject();
        generator.writeEndObject();
        generator.writeEndArray();
        generator.writeEndObject();
    }
}
