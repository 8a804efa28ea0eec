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
    /** Predictions with a larger error are highlighted, as the operators require. */
    private static final double MAX_ERROR_RATIO = 0.1;

    private ResultsPage() {}

    /**
     * Renders the page of an experiment's results.
     *
     * @param title the title of the page
     */
    public static String render(String title, Experiment experiment, List<ResultRow> rows) {
        List<PredictionReport.VariantResult> results = PredictionReport.variantResults(experiment, rows);
        StringBuilder table = new StringBuilder();
        for (PredictionReport.VariantResult result : results) {
            boolean isOff = Math.abs(result.relativeError()) > MAX_ERROR_RATIO;
            table.append("<tr><td>")
                    .append(PageTemplate.escapeHtml(result.variant()))
                    .append("</td><td>")
                    .append(PredictionReport.formatEstimate(result.predicted()))
                    .append("</td><td>")
                    .append(PredictionReport.formatEstimate(result.measured()))
                    .append(isOff ? "</td><td class=\"off\">" : "</td><td>")
                    .append(PredictionReport.formatPercent(result.relativeError()))
                    .append("</td><td>")
                    .append(result.violations())
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
                        chartData(results, experiment.goal())));
    }

    private static String chartData(List<PredictionReport.VariantResult> results, double goal) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("goal", goal);
            json.writeArrayFieldStart("names");
            for (PredictionReport.VariantResult result : results) {
                // A name with a closing script tag would end the script.
                json.writeString(result.variant().replace("<", " "));
            }
            json.writeEndArray();
            json.writeArrayFieldStart("predicted");
            for (PredictionReport.VariantResult result : results) {
                writeMean(json, result.predicted());
            }
            json.writeEndArray();
            json.writeArrayFieldStart("happened");
            for (PredictionReport.VariantResult result : results) {
                writeMean(json, result.measured());
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
