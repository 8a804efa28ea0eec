package kitemux.scale;

import java.io.IOException;
import java.math.BigDecimal;
import java.math.MathContext;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The tables of {@code docs/CAPACITY.md}, from the results that a folder keeps. */
public final class Tables {
    /** The name of the table that is worked out from the others. */
    static final String FIT = "fit";

    /**
     * A column.
     *
     * @param name by which figures are kept and named in the page
     * @param heading with the unit
     * @param decimals shown
     */
    record Column(String name, String heading, int decimals) {}

    /** A table's columns, the row's own heading first. */
    private record Form(String rows, List<Column> columns) {}

    private static final Map<String, Form> FORMS = new LinkedHashMap<>();

    static {
        FORMS.put(
                "list",
                new Form(
                        "servers",
                        List.of(
                                new Column("first_ms", "a change to a node just started, loop, ms", 2),
                                new Column("change_ms", "a change, loop, ms", 2),
                                new Column("change_all_ms", "the same, whole process, ms", 2),
                                new Column("whole_ms", "a whole list, loop, ms", 0),
                                new Column("whole_all_ms", "the same, whole process, ms", 0),
                                new Column("change_bytes", "bytes of a change", 0),
                                new Column("whole_bytes", "bytes of a whole list", 0),
                                new Column("quiet_percent", "a quiet minute, % of a core", 2),
                                new Column("start_s", "start, s", 2),
                                new Column("resident_mb", "memory, MB", 1))));
        FORMS.put(
                "nodes",
                new Form(
                        "nodes",
                        List.of(
                                new Column("quiet_percent", "a quiet minute, loop, % of a core for a node", 3),
                                new Column("change_ms", "a change, loop of a node, ms", 2),
                                new Column("heard_ms", "until the last node heard of a change, ms (worst)", 0),
                                new Column("stall_ms", "longest turn of a loop at a change, ms", 1),
                                new Column("desk_change_ms", "a change, discovery's stand-in, ms", 2),
                                new Column("desk_bytes", "bytes it writes for a change", 0),
                                new Column("return_s", "all at once: until the last has the whole list, s", 2),
                                new Column("return_mb", "MB written for that", 1),
                                new Column("return_calls", "calls for that", 0),
                                new Column("return_stall_ms", "longest turn of a loop at that, ms", 0),
                                new Column("node_mb", "memory for a node, MB", 1))));
        FORMS.put(
                "peers",
                new Form(
                        "nodes",
                        List.of(
                                new Column("first_datagrams", "at first: datagrams sent a second by a node", 2),
                                new Column("first_bytes", "their bytes a second", 0),
                                new Column("news_s", "until each life is told, s", 0),
                                new Column("datagrams", "then: datagrams sent a second by a node", 2),
                                new Column("bytes", "their bytes a second", 0),
                                new Column("heard_percent", "of what was sent, came, %", 1),
                                new Column("quiet_percent", "loop, % of a core for a node", 3),
                                new Column("missing", "nodes that one takes for gone, at most", 0))));
        FORMS.put(
                "tenants",
                new Form(
                        "tenants",
                        List.of(
                                new Column("quiet_percent", "a quiet minute, % of a core", 2),
                                new Column("asked_percent", "asked by all tenants, % of a core", 1),
                                new Column("change_ms", "a change, loop, ms", 2),
                                new Column("start_s", "start, s", 2),
                                new Column("started_mb", "memory after the start, MB", 1),
                                new Column("resident_mb", "memory once all were asked for, MB", 1))));
        FORMS.put(
                "changes",
                new Form(
                        "changes a minute",
                        List.of(
                                new Column("loop_percent", "loop, % of a core", 2),
                                new Column("all_percent", "whole process, % of a core", 2),
                                new Column("bytes_s", "bytes a second", 0))));
        FORMS.put(
                "p99",
                new Form(
                        "requests a second, and what befalls",
                        List.of(
                                new Column("direct_ms", "p99 without a node, ms", 2),
                                new Column("node_ms", "p99 through a node, ms", 2),
                                new Column("added_ms", "added at p99, ms", 2),
                                new Column("added_least_ms", "the same by turn, least", 2),
                                new Column("added_most_ms", "and most", 2),
                                new Column("added_median_ms", "added at the median, ms", 2),
                                new Column("over_percent", "over p99 without a node and 2.1 ms, %", 2),
                                new Column("most_ms", "longest, ms", 1),
                                new Column("answers", "answers", 0),
                                new Column("others", "no answer, or not 200", 0))));
        FORMS.put(
                "events",
                new Form(
                        "event",
                        List.of(
                                new Column("lines", "lines told", 0),
                                new Column("node_ms", "loop of a node, ms", 1),
                                new Column("alone_stall_ms", "longest turn of its loop, alone on the machine, ms", 1),
                                new Column("stall_ms", "the same among all nodes, worst, ms", 1),
                                new Column("bytes", "bytes to a node", 0),
                                new Column("byte_s", "s at 8 KB/s", 1),
                                new Column("heard_ms", "until the last of all knew, ms (worst)", 0),
                                new Column("desk_ms", "discovery's stand-in, ms", 0),
                                new Column("real_ms", "a real node's process, ms", 0),
                                new Column("real_mb", "and its memory then, MB", 1))));
    }

    private static final List<Column> FIT_COLUMNS = List.of(
            new Column("slope", "for 1,000 more", -1),
            new Column("intercept", "at none", -1),
            new Column("residual", "residual", -1),
            new Column("full", "at the full size", -1),
            new Column("budget", "budget", -1),
            new Column("ratio", "of the budget", -1));

    /**
     * A figure that a line is laid through.
     *
     * @param size the fact that holds the full size of what the table's rows count
     * @param budget 0 for none
     */
    private record Figure(String name, String heading, String table, String column, String size, double budget) {}

    /** A node adds 2.1 ms, spends 2% of a core, 128 MB and 8 KB a second; a change is in force within 4 s. */
    private static final List<Figure> FIGURES = List.of(
            new Figure("change", "a change, loop, ms", "list", "change_ms", "servers", 2.1),
            new Figure("whole", "a whole list, loop, ms", "list", "whole_ms", "servers", 2.1),
            new Figure(
                    "whole_bytes",
                    "bytes of a whole list, against 4 s of 8 KB/s",
                    "list",
                    "whole_bytes",
                    "servers",
                    4 * 8_192),
            new Figure("quiet", "a quiet minute by servers, % of a core", "list", "quiet_percent", "servers", 2),
            new Figure("memory", "memory by servers, MB", "list", "resident_mb", "servers", 128),
            new Figure("tenants", "memory by tenants, MB", "tenants", "resident_mb", "tenants", 128),
            new Figure(
                    "changes",
                    "whole process by changes a minute, % of a core",
                    "changes",
                    "all_percent",
                    "changes_a_minute",
                    2),
            new Figure(
                    "change_bytes",
                    "bytes a second by changes a minute",
                    "changes",
                    "bytes_s",
                    "changes_a_minute",
                    8_192),
            new Figure("heard", "until the last node heard, ms", "nodes", "heard_ms", "nodes", 4_000),
            new Figure("desk", "a change, discovery's stand-in, ms", "nodes", "desk_change_ms", "nodes", 0),
            new Figure("peers", "bytes of beliefs sent a second, by nodes", "peers", "bytes", "nodes", 8_192),
            new Figure("peers_first", "the same while lives are told", "peers", "first_bytes", "nodes", 8_192),
            new Figure("news", "until each life is told, s", "peers", "news_s", "nodes", 0),
            new Figure("return", "all at once, s", "nodes", "return_s", "nodes", 4));

    private Tables() {}

    /** All tables, in order. */
    public static List<String> names() {
        List<String> names = new ArrayList<>(FORMS.keySet());
        names.add(FIT);
        return names;
    }

    /** A table's cells as they are shown, by row and column; its columns' headings, the row's own first. */
    record Shown(
            List<String> headings,
            Map<String, Map<String, String>> cells,
            Map<String, String> rowNames,
            String below) {}

    /**
     * A table.
     *
     * @return null where there is none of the name, or the folder keeps no results for it
     * @throws IOException if kept results cannot be read
     */
    static Shown shown(String name, Path folder) throws IOException {
        return name.equals(FIT) ? fits(folder) : FORMS.containsKey(name) ? measured(name, folder) : null;
    }

    private static Shown measured(String name, Path folder) throws IOException {
        Results kept = Results.read(folder, name);
        if (kept == null) {
            return null;
        }
        Form form = FORMS.get(name);
        Map<String, Map<String, String>> cells = new LinkedHashMap<>();
        Map<String, String> rows = new LinkedHashMap<>();
        kept.rows().forEach((row, figures) -> {
            rows.put(row, row.matches("\\d+") ? whole(Double.parseDouble(row)) : row.replace("_", ", "));
            Map<String, String> shown = new LinkedHashMap<>();
            for (Column column : form.columns) {
                Double figure = figures.get(column.name);
                shown.put(column.name, figure == null ? "-" : number(figure, column.decimals));
            }
            cells.put(row, shown);
        });
        List<String> headings = new ArrayList<>(List.of(form.rows));
        form.columns.forEach(column -> headings.add(column.heading));
        StringBuilder below = new StringBuilder("Measured");
        kept.facts().forEach((fact, is) -> {
            if (!fact.equals(Results.LATE) && !fact.equals(Results.BROKE_OFF)) {
                below.append(below.length() == "Measured".length() ? ": " : "; ")
                        .append(fact.replace('_', ' '))
                        .append(' ')
                        .append(is);
            }
        });
        below.append(kept.isLate() ? ". The run itself was late: its figures say little." : ".");
        if (kept.brokeOff() != null) {
            below.append(" It broke off, and what was not reached is missing: ")
                    .append(kept.brokeOff())
                    .append('.');
        }
        return new Shown(headings, cells, rows, below.toString());
    }

    private static Shown fits(Path folder) throws IOException {
        Map<String, Results> all = Results.all(folder, new ArrayList<>(FORMS.keySet()));
        Map<String, Map<String, String>> cells = new LinkedHashMap<>();
        Map<String, String> rows = new LinkedHashMap<>();
        for (Figure figure : FIGURES) {
            Results of = all.get(figure.table);
            if (of == null) {
                continue;
            }
            List<Double> at = new ArrayList<>();
            List<Double> measured = new ArrayList<>();
            of.rows().forEach((row, values) -> {
                Double value = values.get(figure.column);
                if (row.matches("\\d+") && value != null) {
                    at.add(Double.parseDouble(row));
                    measured.add(value);
                }
            });
            if (at.size() < 3 || of.facts().get("full_" + figure.size) == null) {
                continue;
            }
            Fit fit = Fit.of(
                    at.stream().mapToDouble(d -> d).toArray(),
                    measured.stream().mapToDouble(d -> d).toArray());
            double full = fit.at(Double.parseDouble(of.facts().get("full_" + figure.size)));
            Map<String, String> shown = new LinkedHashMap<>();
            shown.put("sizes", String.join(", ", at.stream().map(Tables::whole).toList()));
            shown.put("slope", digits(fit.slope() * 1_000));
            shown.put("intercept", digits(fit.intercept()));
            shown.put("residual", digits(fit.residual()));
            shown.put("full", digits(full));
            shown.put("budget", figure.budget == 0 ? "-" : digits(figure.budget));
            shown.put("ratio", figure.budget == 0 ? "-" : digits(full / figure.budget));
            cells.put(figure.name, shown);
            rows.put(figure.name, figure.heading);
        }
        if (cells.isEmpty()) {
            return null;
        }
        List<String> headings = new ArrayList<>(List.of("figure", "measured at"));
        FIT_COLUMNS.forEach(column -> headings.add(column.heading));
        return new Shown(
                headings,
                cells,
                rows,
                "Lines by least squares through the rows of the measured "
                        + "tables; the residual is the root of the mean square of what a line misses them by.");
    }

    /** A table as it stands in the page, its last line ended; null as {@link #shown}. */
    public static String markdown(String name, Path folder) throws IOException {
        Shown shown = shown(name, folder);
        if (shown == null) {
            return null;
        }
        StringBuilder text = new StringBuilder("| " + String.join(" | ", shown.headings) + " |\n|");
        text.append(" --- |".repeat(shown.headings.size())).append('\n');
        shown.cells.forEach((row, cells) -> text.append("| ")
                .append(shown.rowNames.get(row))
                .append(" | ")
                .append(String.join(" | ", cells.values()))
                .append(" |\n"));
        return text.append('\n').append(shown.below).append('\n').toString();
    }

    private static String whole(double number) {
        return String.format(Locale.ROOT, "%,.0f", number);
    }

    private static String number(double figure, int decimals) {
        return String.format(Locale.ROOT, "%,." + decimals + "f", figure);
    }

    /** Three digits, or all before the point. */
    private static String digits(double figure) {
        double rounded =
                Math.abs(new BigDecimal(figure).round(new MathContext(3)).doubleValue());
        // What least squares leave of nothing by the rounding of doubles is nothing.
        int decimals = rounded < 1e-9 ? 0 : 2 - (int) Math.floor(Math.log10(rounded));
        return number(figure, Math.max(0, decimals));
    }
}
