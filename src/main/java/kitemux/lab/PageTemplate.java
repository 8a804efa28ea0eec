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
 * HTML pages among the resources of this build with placeholders such as {@code @TITLE@}. The chart library is
 * embedded in the page.
 */
public final class PageTemplate {
    private static final String CHART_LIBRARY_PREFIX = "/META-INF/resources/webjars/uplot/1.6.30/dist/uPlot.";
    private static final Pattern PLACEHOLDER = Pattern.compile("@([A-Z]+)@");

    private PageTemplate() {}

    /**
     * Fills in the placeholders of a page. {@code STYLE} and {@code CHARTS} are replaced by the chart library.
     * Inserted values are not searched for placeholders, as a name may look like one.
     *
     * @param path the resource path of the page, from the root
     * @param values the values by placeholder name, already escaped
     * @throws IllegalArgumentException if the page has a placeholder without a value
     */
    public static String fill(String path, Map<String, String> values) {
        Map<String, String> all = new HashMap<>(values);
        all.put("STYLE", resource(CHART_LIBRARY_PREFIX + "min.css"));
        all.put("CHARTS", resource(CHART_LIBRARY_PREFIX + "iife.min.js"));
        return PLACEHOLDER.matcher(resource(path)).replaceAll(placeholder -> {
            String text = all.get(placeholder.group(1));
            if (text == null) {
                throw new IllegalArgumentException(
                        path + " has a placeholder " + placeholder.group() + " without a value");
            }
            return Matcher.quoteReplacement(text);
        });
    }

    /** Returns the text with the characters that are special in HTML escaped. */
    public static String escapeHtml(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    private static String resource(String path) {
        try (InputStream in = PageTemplate.class.getResourceAsStream(path)) {
            if (in == null) {
                throw new IOException(path + " is missing from this build");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
