package kitemux.drill;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import kitemux.lab.PageTemplate;

/**
 * A drill's time-line as one page that opens without a network: faults as bars, what was in time, what
 * servers got.
 */
public final class DrillPage {
    private static final JsonFactory JSON = new JsonFactory();
    /** Of what is told by time. */
    private static final long STEP_US = 250_000;

    private static final long SUM_US = 100_000;

    private final TreeMap<Long, double[]> steps = new TreeMap<>();
    private final Map<Long, Event> asked = new LinkedHashMap<>();
    private final Map<String, Long> wishOf = new HashMap<>();
    private final Map<Long, Long> servedUs = new HashMap<>();
    private final Map<String, Window> boxes = new HashMap<>();
    private final List<Bar> bars = new ArrayList<>();
    private Event head;
    private long endUs;

    private record Bar(String name, long fromUs, long toUs) {}

    private DrillPage() {}

    /**
     * A page of a time-line and its verdict.
     *
     * @param title what it is called
     */
    public static String of(String title, Path timeline, Verdict verdict) throws IOException {
        DrillPage page = new DrillPage();
        try (Stream<String> lines = Files.lines(timeline)) {
            for (String line : (Iterable<String>) lines::iterator) {
                page.take(Event.read(line));
            }
        }
        StringBuilder said = new StringBuilder();
        verdict.lines()
                .forEach(line -> said.append(PageTemplate.escapeHtml(line)).append('\n'));
        return PageTemplate.fill(
                "/kitemux/drill/page.html",
                Map.of("TITLE", PageTemplate.escapeHtml(title), "VERDICT", said.toString(), "DATA", page.data()));
    }

    private void take(Event event) {
        endUs = Math.max(endUs, event.atUs());
        switch (event.kind()) {
            case "begin" -> head = event;
            case "ask" -> {
                asked.putIfAbsent(event.number("wish"), event);
                wishOf.put(event.text("txn"), event.number("wish"));
            }
            case "answer" -> {
                if (event.number("status") == 200) {
                    servedUs.putIfAbsent(wishOf.get(event.text("txn")), event.atUs());
                }
            }
            case "try" -> {
                int in = boxes.computeIfAbsent(event.text("box"), b -> new Window(SUM_US))
                        .came(event.atUs());
                double[] step = step(event.atUs());
                step[2] = Math.max(step[2], in);
            }
            case "fault" -> bars.add(new Bar(event.text("name"), event.atUs(), -1));
            case "mended" -> {
                for (int i = bars.size() - 1; i >= 0; i--) {
                    if (bars.get(i).name.equals(event.text("name")) && bars.get(i).toUs < 0) {
                        bars.set(i, new Bar(bars.get(i).name, bars.get(i).fromUs, event.atUs()));
                        break;
                    }
                }
            }
            default -> {
                // Not drawn.
            }
        }
    }

    private double[] step(long atUs) {
        return steps.computeIfAbsent(atUs / STEP_US, s -> new double[3]);
    }

    private String data() throws IOException {
        List<Event> classes = head.events("classes");
        asked.forEach((wish, first) -> {
            Event of = classes.get((int) first.number("class"));
            double[] step = step(first.atUs());
            step[0] += of.real("worth");
            Long at = servedUs.get(wish);
            step[1] += at != null && at - first.atUs() <= of.number("aim") + head.number("repeatGrace")
                    ? of.real("worth")
                    : 0;
        });
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            column(json, "t", (at, step) -> at * STEP_US / 1e6);
            column(json, "asked", (at, step) -> step[0]);
            column(json, "good", (at, step) -> step[0] == 0 ? 1 : step[1] / step[0]);
            column(json, "most", (at, step) -> step[2]);
            json.writeArrayFieldStart("bars");
            for (Bar bar : bars) {
                json.writeStartObject();
                json.writeStringField("name", bar.name.replace("<", " "));
                json.writeNumberField("from", bar.fromUs / 1e6);
                json.writeNumberField("to", (bar.toUs < 0 ? endUs : bar.toUs) / 1e6);
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        return text.toString();
    }

    private interface Of {
        double value(long at, double[] step);
    }

    private void column(JsonGenerator json, String name, Of of) throws IOException {
        json.writeArrayFieldStart(name);
        for (Map.Entry<Long, double[]> step : steps.entrySet()) {
            json.writeNumber(of.value(step.getKey(), step.getValue()));
        }
        json.writeEndArray();
    }
}
