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

/** Renders results as a self-contained HTML page with charts, which opens without a network. */
public final class ResultsPage {
    private static final JsonFactory JSON = new JsonFactory();
    /** Predictions with a larger error are highlighted. */
    private static final double MAX_ERROR_RATIO = 0.1;

    private ResultsPage() {}

    /**
     * Renders the page of an experiment's results.
     *
     * @param title the title of the page
     */
    public static String render(String title, Experiment experiment, List<ResultRow> rows) {
        List<PredictionReport.VariantResult> lines = PredictionReport.variantResults(experiment, rows);
        StringBuilder table = new StringBuilder();
        for (PredictionReport.VariantResult line : lines) {
            boolean isOff = Math.abs(line.relativeError()) > MAX_ERROR_RATIO;
            table.append("<tr><td>")
                    .append(PageTemplate.escapeHtml(line.variant()))
                    .append("</td><td>")
                    .append(PredictionReport.formatEstimate(line.predicted()))
                    .append("</td><td>")
                    .append(PredictionReport.formatEstimate(line.measured()))
                    .append(isOff ? "</td><td class=\"off\">" : "</td><td>")
                    .append(PredictionReport.formatPercent(line.relativeError()))
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
                        chartData(lines, experiment.goal())));
    }

    private static String chartData(List<PredictionReport.VariantResult> lines, double goal) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("goal", goal);
            json.writeArrayFieldStart("names");
            for (PredictionReport.VariantResult line : lines) {
                // A name with a closing script tag would end the script.
                json.writeString(line.variant().replace("<", " "));
            }
            json.writeEndArray();
            json.writeArrayFieldStart("predicted");
            for (PredictionReport.VariantResult line : lines) {
                writeMean(json, line.predicted());
            }
            json.writeEndArray();
            json.writeArrayFieldStart("happened");
            for (PredictionReport.VariantResult line : lines) {
                writeMean(json, line.measured());
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static void writeMean(JsonGenerator json, Estimate estimate) throws IOException {
        if (estimate == null) {
            json.writeNull();
        } else {
            json.writeNumber(estimate.mean());
        }
    }
}
