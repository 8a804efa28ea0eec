package kitemux.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * The table {@code orders (id, school)} of an {@link OrderDatabase}, shared by all its connections, with the SQL that
 * tests need: inserts, selects by id, transactions, generated rows, and the settings that drivers query. It counts the
 * committed inserts of each id and accepts duplicates, which the key of a real table would reject.
 */
final class OrderTable {
    private static final Pattern INSERT =
            Pattern.compile("INSERT INTO ORDERS (?:\\(ID, SCHOOL\\) )?VALUES (.+)", Pattern.CASE_INSENSITIVE);
    private static final Pattern VALUES = Pattern.compile("\\(\\s*(?:'([^']*)'|\\?)\\s*,\\s*(?:'([^']*)'|\\?)\\s*\\)");
    private static final Pattern SELECT = Pattern.compile(
            "SELECT ID, SCHOOL FROM ORDERS(?: WHERE ID = (?:'([^']*)'|\\?))?", Pattern.CASE_INSENSITIVE);
    private static final Pattern ROWS = Pattern.compile("SELECT (\\d+) ROWS", Pattern.CASE_INSENSITIVE);
    private static final Pattern AUTOCOMMIT = Pattern.compile("AUTOCOMMIT ?= ?(\\d)");
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

    private final Map<String, String> schoolsById = new LinkedHashMap<>();
    private final Map<String, Integer> insertCounts = new HashMap<>();

    /** The result of a statement: columns and rows, or the number of changed rows if there are no columns. */
    record StatementResult(List<String> columns, Iterable<List<String>> rows, int changedRows) {
        static StatementResult ok(int changedRows) {
            return new StatementResult(List.of(), List.of(), changedRows);
        }
    }

    /** Thrown for a statement that the table does not support. */
    static final class UnknownStatementException extends Exception {
        private static final long serialVersionUID = 1L;

        UnknownStatementException(String sql) {
            super("the stand-in does not know: " + sql);
        }
    }

    /** The transaction state of a connection, with its uncommitted inserts. */
    static final class Session {
        private final List<List<String>> pending = new ArrayList<>();
        private boolean hasBegun;
        private boolean autocommit = true;

        boolean isInTransaction() {
            return hasBegun || !pending.isEmpty();
        }

        boolean isAutocommit() {
            return autocommit;
        }
    }

    synchronized int inserts(String id) {
        return insertCounts.getOrDefault(id, 0);
    }

    synchronized Map<String, Integer> inserts() {
        return Map.copyOf(insertCounts);
    }

    /** Returns the number of parameters of a statement. */
    static int countParameters(String sql) {
        return (int) sql.chars().filter(c -> c == '?').count();
    }

    /** Returns the result columns of a statement without executing it. */
    static List<String> resultColumns(String sql) {
        return SELECT.matcher(normalize(sql)).matches()
                ? List.of("id", "school")
                : ROWS.matcher(normalize(sql)).matches() ? List.of("n") : List.of();
    }

    private static String normalize(String sql) {
        return sql.replaceAll("(?s)/\\*.*?\\*/", " ")
                .replaceAll("\\s+", " ")
                .strip()
                .replaceAll(";$", "");
    }

    /**
     * Executes a statement with these parameter values.
     *
     * @throws UnknownStatementException if the table does not support the statement
     */
    synchronized StatementResult execute(Session session, String sql, List<String> values)
            throws UnknownStatementException {
        String text = normalize(sql);
        String upper = text.toUpperCase(Locale.ROOT);
        Matcher insert = INSERT.matcher(text);
        if (insert.matches()) {
            return insert(session, insert.group(1), values);
        }
        Matcher select = SELECT.matcher(text);
        if (select.matches()) {
            String id = text.endsWith("?") ? values.get(0) : select.group(1);
            List<List<String>> found = new ArrayList<>();
            schoolsById.forEach((key, school) -> {
                if (id == null || id.equals(key)) {
                    found.add(List.of(key, school));
                }
            });
            return new StatementResult(List.of("id", "school"), found, 0);
        }
        Matcher generated = ROWS.matcher(text);
        if (generated.matches()) {
            int count = Integer.parseInt(generated.group(1));
            return new StatementResult(
                    List.of("n"),
                    () -> IntStream.range(0, count)
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
                session.hasBegun = true;
            }
            case "COMMIT" -> commit(session);
            case "ROLLBACK" -> {
                session.pending.clear();
                session.hasBegun = false;
            }
            case "SET" -> {
                Matcher autocommit = AUTOCOMMIT.matcher(upper);
                if (autocommit.find()) {
                    session.autocommit = autocommit.group(1).equals("1");
                    if (session.autocommit) {
                        commit(session);
                    }
                }
            }
            default -> throw new UnknownStatementException(text);
        }
        return StatementResult.ok(0);
    }

    private StatementResult insert(Session session, String tuples, List<String> values)
            throws UnknownStatementException {
        Matcher tuple = VALUES.matcher(tuples);
        int usedValues = 0;
        int count = 0;
        while (tuple.find()) {
            String id = tuple.group(1) != null ? tuple.group(1) : values.get(usedValues++);
            String school = tuple.group(2) != null ? tuple.group(2) : values.get(usedValues++);
            session.pending.add(List.of(id, school));
            count++;
        }
        if (count == 0) {
            throw new UnknownStatementException(tuples);
        }
        if (session.autocommit && !session.hasBegun) {
            commit(session);
        }
        return StatementResult.ok(count);
    }

    private void commit(Session session) {
        session.pending.forEach(row -> {
            schoolsById.put(row.get(0), row.get(1));
            insertCounts.merge(row.get(0), 1, Integer::sum);
        });
        session.pending.clear();
        session.hasBegun = false;
    }

    private static StatementResult settings(String text) {
        List<String> names = new ArrayList<>();
        List<String> values = new ArrayList<>();
        Matcher setting = SETTING.matcher(text);
        while (setting.find()) {
            String name = setting.group(1)
                    .substring(setting.group(1).lastIndexOf('.') + 1)
                    .replace("@@", "");
            names.add(setting.group(2) == null ? setting.group(1) : setting.group(2));
            values.add(SETTINGS.getOrDefault(
                    name.toLowerCase(Locale.ROOT),
                    name.startsWith("character")
                            ? "utf8mb4"
                            : name.startsWith("collation") ? "utf8mb4_0900_ai_ci" : ""));
        }
        return new StatementResult(names, List.of(values), 0);
    }
}
