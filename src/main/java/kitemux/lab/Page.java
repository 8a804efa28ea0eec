package kitemux.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import kitemux.plan.Estimate;

/** Results as one page with charts, which holds all that it needs and opens without a network. */
public final class Page {
    private static final JsonFactory JSON = new JsonFactory();
    /** Beyond this part a prediction is marked: what the operators asked for. */
    private static final double MOST_OFF = 0.1;

    private Page() {}

    /**
     * A page of an experiment's results.
     *
     * @param title what it is called
     */
    public static String of(String title, Experiment experiment, List<Row> rows) {
        List<Findings.Line> lines = Findings.lines(experiment, rows);
        StringBuilder table = new StringBuilder();
        for (Findings.Line line : lines) {
            boolean off = Math.abs(line.error()) > MOST_OFF;
            table.append("<tr><td>")
                    .append(Template.escaped(line.variant()))
                    .append("</td><td>")
                    .append(Findings.text(line.predicted()))
                    .append("</td><td>")
                    .append(Findings.text(line.happened()))
                    .append(off ? "</td><td class=\"off\">" : "</td><td>")
                    .append(Findings.percent(line.error()))
                    .append("</td><td>")
                    .append(line.broken())
                    .append("</td></tr>\n");
        }
        return Template.fill(
                "/kitemux/lab/page.html",
                Map.of(
                        "TITLE",
                        Template.escaped(title),
                        "ABOUT",
                        String.format(Locale.ROOT, "Goal %.2f, %d runs.", experiment.goal(), rows.size()),
                        "ROWS",
                        table.toString(),
                        "DATA",
                        data(lines, experiment.goal())));
    }

    private static String data(List<Findings.Line> lines, double goal) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("goal", goal);
            json.writeArrayFieldStart("names");
            for (Findings.Line line : lines) {
                // A name that ended the script would end the page.
                json.writeString(line.variant().replace("<", " "));
            }
            json.writeEndArray();
            json.writeArrayFieldStart("predicted");
            for (Findings.Line line : lines) {
                write(json, line.predicted());
            }
            json.writeEndArray();
            json.writeArrayFieldStart("happened");
            for (Findings.Line line : lines) {
                write(json, line.happened());
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static void write(JsonGenerator json, Estimate of) throws IOException {
        if (of == null) {
            json.writeNull();
        } else {
            json.writeNumber(of.mean());
        }
    }
}
