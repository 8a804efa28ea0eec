package kitemux.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One table of orders, {@code orders (id, school)}, shared by all connections of a stand-in, with as much
 * SQL as tests need: inserts, selects by id, transactions, rows by the number and settings that drivers ask
 * for. It counts every insert that was committed by its id, also a second one, which a real table's key
 * would refuse.
 */
final class OrderTable {
    private static final Pattern INSERT =
            Pattern.compile("INSERT INTO ORDERS (?:\\(ID, SCHOOL\\) )?VALUES (.+)", Pattern.CASE_INSENSITIVE);
    private static final Pattern VALUES = Pattern.compile("\\(\\s*(?:'([^']*)'|\\?)\\s*,\\s*(?:'([^']*)'|\\?)\\s*\\)");
    private static final Pattern SELECT = Pattern.compile(
            "SELECT ID, SCHOOL FROM ORDERS(?: WHERE ID = (?:'([^']*)'|\\?))?", Pattern.CASE_INSENSITIVE);
    private static final Pattern ROWS = Pattern.compile("SELECT (\\d+) ROWS", Pattern.CASE_INSENSITIVE);
    private static final Pattern SETTING =
            Pattern.compile("(@@[\\w.]+)(?:\\s+AS\\s+(\\w+))?", Pattern.CASE_INSENSITIVE);
    private static final Map<String, String> SETTINGS = Map.of(
            "auto_increment_increment",
            "1",
            "max_allowed_packet",
            "67108864",
            "net_write_timeout",
            "60",
            "wait_timeout",
            "28800",
            "interactive_timeout",
            "28800",
            "lower_case_table_names",
            "0",
            "system_time_zone",
            "UTC",
            "time_zone",
            "SYSTEM",
            "transaction_read_only",
            "0",
            "sql_mode",
            "");

    private final Map<String, String> rows = new LinkedHashMap<>();
    private final Map<String, Integer> inserts = new HashMap<>();

    /** What a statement gives: columns and rows, or changed rows where there are no columns. */
    record Given(List<String> columns, Iterable<List<String>> rows, int changed) {
        static Given ok(int changed) {
            return new Given(List.of(), List.of(), changed);
        }
    }

    /** A statement that this table does not know. */
    static final class UnknownException extends Exception {
        private static final long serialVersionUID = 1L;

        UnknownException(String sql) {
            super("the stand-in does not know: " + sql);
        }
    }

    /** A connection's own part: the inserts of its open transaction. */
    static final class Session {
        private final List<List<String>> pending = new ArrayList<>();
        private boolean begun;
        private boolean autocommit = true;

        boolean isInTransaction() {
            return begun || !pending.isEmpty();
        }

        boolean isAutocommit() {
            return autocommit;
        }
    }

    synchronized int inserts(String id) {
        return inserts.getOrDefault(id, 0);
    }

    synchronized Map<String, Integer> inserts() {
        return Map.copyOf(inserts);
    }

    /** How many question marks a text has. */
    static int parameters(String sql) {
        return (int) sql.chars().filter(c -> c == '?').count();
    }

    /** The columns that a text gives, before it is run. */
    static List<String> columns(String sql) {
        return SELECT.matcher(clean(sql)).matches()
                ? List.of("id", "school")
                : ROWS.matcher(clean(sql)).matches() ? List.of("n") : List.of();
    }

    private static String clean(String sql) {
        return sql.replaceAll("(?s)/\\*.*?\\*/", " ")
                .replaceAll("\\s+", " ")
                .strip()
                .replaceAll(";$", "");
    }

    /** Runs a statement with these values for its question marks. */
    synchronized Given run(Session session, String sql, List<String> values) throws UnknownException {
        String text = clean(sql);
        String upper = text.toUpperCase(Locale.ROOT);
        Matcher insert = INSERT.matcher(text);
        if (insert.matches()) {
            return insert(session, insert.group(1), values);
        }
        Matcher select = SELECT.matcher(text);
        if (select.matches()) {
            String id = text.endsWith("?") ? values.get(0) : select.group(1);
            List<List<String>> found = new ArrayList<>();
            rows.forEach((key, school) -> {
                if (id == null || id.equals(key)) {
                    found.add(List.of(key, school));
                }
            });
            return new Given(List.of("id", "school"), found, 0);
        }
        Matcher many = ROWS.matcher(text);
        if (many.matches()) {
            int count = Integer.parseInt(many.group(1));
            return new Given(
                    List.of("n"),
                    () -> java.util.stream.IntStream.range(0, count)
                            .mapToObj(i -> List.of(Integer.toString(i)))
                            .iterator(),
                    0);
        }
        if (upper.startsWith("SELECT @@")) {
            return settings(text);
        }
        switch (upper.replaceAll("[ =].*", "")) {
            case "BEGIN", "START" -> {
                commit(session);
                session.begun = true;
            }
            case "COMMIT" -> commit(session);
            case "ROLLBACK" -> {
                session.pending.clear();
                session.begun = false;
            }
            case "SET" -> {
                Matcher auto = Pattern.compile("AUTOCOMMIT ?= ?(\\d)").matcher(upper);
                if (auto.find()) {
                    session.autocommit = auto.group(1).equals("1");
                    if (session.autocommit) {
                        commit(session);
                    }
                }
            }
            default -> throw new UnknownException(text);
        }
        return Given.ok(0);
    }

    private Given insert(Session session, String tuples, List<String> values) throws UnknownException {
        Matcher each = VALUES.matcher(tuples);
        int taken = 0;
        int count = 0;
        while (each.find()) {
            String id = each.group(1) != null ? each.group(1) : values.get(taken++);
            String school = each.group(2) != null ? each.group(2) : values.get(taken++);
            session.pending.add(List.of(id, school));
            count++;
        }
        if (count == 0) {
            throw new UnknownException(tuples);
        }
        if (session.autocommit && !session.begun) {
            commit(session);
        }
        return Given.ok(count);
    }

    private void commit(Session session) {
        session.pending.forEach(row -> {
            rows.put(row.get(0), row.get(1));
            inserts.merge(row.get(0), 1, Integer::sum);
        });
        session.pending.clear();
        session.begun = false;
    }

    private static Given settings(String text) {
        List<String> names = new ArrayList<>();
        List<String> values = new ArrayList<>();
        Matcher each = SETTING.matcher(text);
        while (each.find()) {
            String name =
                    each.group(1).substring(each.group(1).lastIndexOf('.') + 1).replace("@@", "");
            names.add(each.group(2) == null ? each.group(1) : each.group(2));
            values.add(SETTINGS.getOrDefault(
                    name.toLowerCase(Locale.ROOT),
                    name.startsWith("character")
                            ? "utf8mb4"
                            : name.startsWith("collation") ? "utf8mb4_0900_ai_ci" : ""));
        }
        return new Given(names, List.of(values), 0);
    }
}
