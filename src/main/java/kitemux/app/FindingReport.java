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
 * What was found in descriptions, for programs: as JSON, or as SARIF 2.1.0, which code hosts and editors
 * show.
 */
public final class FindingReport {
    private static final Pattern PLACE = Pattern.compile("(?s)(.*):(\\d+):(\\d+): (.*)");

    /**
     * A finding in a file.
     *
     * @param line and {@code column}: from 1; 0 where they are not known
     */
    public record LocatedFinding(String file, int line, int column, Finding finding) {}

    private FindingReport() {}

    /** What was found in a file, with the places that are known. */
    public static List<LocatedFinding> locate(String file, AppParser.Result reading) {
        return reading.findings().stream()
                .map(finding -> {
                    String line = finding.location().matches("\\d+:\\d+")
                            ? file + ":" + finding.format()
                            : reading.places().withLocation(file, finding.format());
                    Matcher place = PLACE.matcher(line);
                    boolean known = place.matches() && place.group(1).equals(file);
                    return new LocatedFinding(
                            file,
                            known ? Integer.parseInt(place.group(2)) : 0,
                            known ? Integer.parseInt(place.group(3)) : 0,
                            finding);
                })
                .toList();
    }

    private interface Body {
        void write(JsonGenerator to) throws IOException;
    }

    private static String text(Body body) {
        StringWriter text = new StringWriter();
        try (JsonGenerator to = new JsonFactory().createGenerator(text)) {
            to.useDefaultPrettyPrinter();
            body.write(to);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    /** A list of objects. */
    public static String toJson(List<LocatedFinding> all) {
        return text(to -> {
            to.writeStartArray();
            for (LocatedFinding found : all) {
                Finding finding = found.finding;
                to.writeStartObject();
                to.writeStringField("code", finding.rule().code());
                to.writeStringField("file", found.file);
                to.writeNumberField("line", found.line);
                to.writeNumberField("column", found.column);
                to.writeStringField("field", finding.location());
                to.writeStringField("what", finding.message());
                to.writeStringField("cure", finding.rule().remedy());
                to.writeEndObject();
            }
            to.writeEndArray();
        });
    }

    /** A log of one run. */
    public static String toSarif(List<LocatedFinding> all) {
        return text(to -> {
            to.writeStartObject();
            to.writeStringField("$schema", "https://json.schemastore.org/sarif-2.1.0.json");
            to.writeStringField("version", "2.1.0");
            to.writeArrayFieldStart("runs");
            to.writeStartObject();
            to.writeObjectFieldStart("tool");
            to.writeObjectFieldStart("driver");
            to.writeStringField("name", "kitemux config");
            to.writeArrayFieldStart("rules");
            for (Rule rule : Rule.values()) {
                to.writeStartObject();
                to.writeStringField("id", rule.code());
                message(to, "shortDescription", rule.description());
                message(to, "help", rule.remedy());
                to.writeEndObject();
            }
            to.writeEndArray();
            to.writeEndObject();
            to.writeEndObject();
            to.writeArrayFieldStart("results");
            for (LocatedFinding found : all) {
                result(to, found);
            }
            to.writeEndArray();
            to.writeEndObject();
            to.writeEndArray();
            to.writeEndObject();
        });
    }

    private static void message(JsonGenerator to, String field, String text) throws IOException {
        to.writeObjectFieldStart(field);
        to.writeStringField("text", text);
        to.writeEndObject();
    }

    private static void result(JsonGenerator to, LocatedFinding found) throws IOException {
        Finding finding = found.finding;
        to.writeStartObject();
        to.writeStringField("ruleId", finding.rule().code());
        to.writeNumberField("ruleIndex", finding.rule().ordinal());
        to.writeStringField("level", "error");
        message(
                to,
                "message",
                (finding.location().isEmpty() ? "" : finding.location() + ": ") + finding.message() + "; "
                        + finding.rule().remedy());
        to.writeArrayFieldStart("locations");
        to.writeStartObject();
        to.writeObjectFieldStart("physicalLocation");
        to.writeObjectFieldStart("artifactLocation");
        to.writeStringField("uri", found.file);
        to.writeEndObject();
        if (found.line > 0) {
            to.writeObjectFieldStart("region");
            to.writeNumberField("startLine", found.line);
            to.writeNumberField("startColumn", found.column);
            to.writeEndObject();
        }
        to.writeEndObject();
        to.writeEndObject();
        to.writeEndArray();
        to.writeEndObject();
    }
}
