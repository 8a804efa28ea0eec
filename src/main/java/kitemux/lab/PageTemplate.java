package kitemux.lab;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Pages of this build with places to be filled in, such as {@code @TITLE@}; charts are put into them
 * whole.
 */
public final class PageTemplate {
    private static final String CHARTS = "/META-INF/resources/webjars/uplot/1.6.30/dist/uPlot.";
    private static final Pattern PLACE = Pattern.compile("@([A-Z]+)@");

    private PageTemplate() {}

    /**
     * A page, filled in. {@code STYLE} and {@code CHARTS} are the chart library's. What is put in is not
     * searched again: a name may look like a place.
     *
     * @param path of the page in this build, from its root
     * @param places what stands where, as it is to stand there
     * @throws IllegalArgumentException if the page has a place that is not among them
     */
    public static String fill(String path, Map<String, String> places) {
        Map<String, String> all = new HashMap<>(places);
        all.put("STYLE", resource(CHARTS + "min.css"));
        all.put("CHARTS", resource(CHARTS + "iife.min.js"));
        return PLACE.matcher(resource(path)).replaceAll(place -> {
            String text = all.get(place.group(1));
            if (text == null) {
                throw new IllegalArgumentException(path + " has a place " + place.group() + " that is not filled");
            }
            return Matcher.quoteReplacement(text);
        });
    }

    /** Text as it may stand in a page. */
    public static String escapeHtml(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    private static String resource(String path) {
        try (InputStream in = PageTemplate.class.getResourceAsStream(path)) {
            if (in == null) {
                throw new IOException(path + " is not in this build");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
