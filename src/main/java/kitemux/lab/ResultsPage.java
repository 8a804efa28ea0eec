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
public final class ResultsPage {
    private static final JsonFactory JSON = new JsonFactory();
    /** Beyond this part a prediction is marked: what the operators asked for. */
    private static final double MOST_OFF = 0.1;

    private ResultsPage() {}

    /**
     * A page of an experiment's results.
     *
     * @param title what it is called
     */
    public static String render(String title, Experiment experiment, List<ResultRow> rows) {
        List<PredictionReport.VariantResult> lines = PredictionReport.variantResults(experiment, rows);
        StringBuilder table = new StringBuilder();
        for (PredictionReport.VariantResult line : lines) {
            boolean off = Math.abs(line.relativeError()) > MOST_OFF;
            table.append("<tr><td>")
                    .append(PageTemplate.escapeHtml(line.variant()))
                    .append("</td><td>")
                    .append(PredictionReport.text(line.predicted()))
                    .append("</td><td>")
                    .append(PredictionReport.text(line.measured()))
                    .append(off ? "</td><td class=\"off\">" : "</td><td>")
                    .append(PredictionReport.percent(line.relativeError()))
                    .append("</td><td>")
                    .append(line.violations())
                    .append("</td></tr>\n");
        }
        return PageTemplate.fill(
                "/kitemux/lab/page.html",
                Map.of(
                        "TITLE",
                        PageTemplate.escapeHtml(title),
                        "ABOUT",
                        String.format(Locale.ROOT, "Goal %.2f, %d runs.", experiment.goal(), rows.size()),
                        "ROWS",
                        table.toString(),
                        "DATA",
                        data(lines, experiment.goal())));
    }

    private static String data(List<PredictionReport.VariantResult> lines, double goal) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("goal", goal);
            json.writeArrayFieldStart("names");
            for (PredictionReport.VariantResult line : lines) {
                // A name that ended the script would end the page.
                json.writeString(line.variant().replace("<", " "));
            }
            json.writeEndArray();
            json.writeArrayFieldStart("predicted");
            for (PredictionReport.VariantResult line : lines) {
                write(json, line.predicted());
            }
            json.writeEndArray();
            json.writeArrayFieldStart("happened");
            for (PredictionReport.VariantResult line : lines) {
                write(json, line.measured());
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
