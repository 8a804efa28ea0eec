package kitemux.mysql;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Classification of a statement by its text alone. It errs on the side of never running a write twice: a
 * statement counts as a read only if nothing in it could be anything else. As the schema is unknown, a function
 * that is not known here may write. It performs no I/O.
 *
 * @param isReadOnly whether the statement certainly changes nothing, so that it may run again
 * @param traits effects of the statement on its session
 */
public record Statement(boolean isReadOnly, Set<Trait> traits) {
    /** Effect of a statement on its session, or its dependency on it. */
    public enum Trait {
        /** A transaction may be open after the statement. */
        BEGINS_TRANSACTION,
        /** No transaction is open after the statement, unless it chains one. */
        ENDS_TRANSACTION,
        /** Its effect on the session lasts and cannot be replayed on another connection. */
        PINS_SESSION,
        /** It sets session variables, which can be replayed on another connection. */
        SETS_VARIABLES,
        /** It reads state that the previous statement left in the session. */
        READS_SESSION_STATE
    }

    /** Token of an opening parenthesis that directly follows a word, as in a function call. */
    private static final String CALL_PARENTHESIS = "(";

    /** Token of any other opening parenthesis. */
    private static final String DETACHED_PARENTHESIS = " (";

    /** Longer texts are not analyzed and count as writes; this limits the time on the event loop. */
    static final int MAX_ANALYZED_CHARS = 1 << 16;

    /** Keywords that call no function, even with a parenthesis after them. */
    private static final Set<String> KEYWORDS = Set.of(
            "ALL",
            "AND",
            "ANY",
            "AS",
            "BETWEEN",
            "BY",
            "CASE",
            "DISTINCT",
            "DIV",
            "ELSE",
            "EXCEPT",
            "EXISTS",
            "FROM",
            "HAVING",
            "IN",
            "INTERSECT",
            "INTERVAL",
            "JOIN",
            "LIKE",
            "NOT",
            "ON",
            "OR",
            "OVER",
            "SELECT",
            "SOME",
            "THEN",
            "UNION",
            "USING",
            "VALUES",
            "WHEN",
            "WHERE",
            "WITH",
            "XOR",
            "REGEXP",
            "INDEX",
            "KEY",
            "LATERAL",
            "ROW",
            "EXPLAIN",
            "IS");
    /**
     * Built-in functions without side effects. With whitespace before the parenthesis the name refers to a
     * stored function instead.
     */
    private static final Set<String> PURE_FUNCTIONS = Set.of(
            "ABS",
            "AVG",
            "CAST",
            "CEIL",
            "CEILING",
            "CHAR",
            "CHAR_LENGTH",
            "COALESCE",
            "CONCAT",
            "CONCAT_WS",
            "CONVERT",
            "COUNT",
            "CRC32",
            "CURDATE",
            "CURRENT_DATE",
            "CURRENT_TIMESTAMP",
            "DATE",
            "DATE_ADD",
            "DATE_FORMAT",
            "DATE_SUB",
            "DATEDIFF",
            "DAY",
            "DENSE_RANK",
            "EXTRACT",
            "FIELD",
            "FIND_IN_SET",
            "FLOOR",
            "FORMAT",
            "FROM_UNIXTIME",
            "GREATEST",
            "GROUP_CONCAT",
            "HEX",
            "HOUR",
            "IF",
            "IFNULL",
            "INSTR",
            "ISNULL",
            "JSON_ARRAY",
            "JSON_ARRAYAGG",
            "JSON_CONTAINS",
            "JSON_EXTRACT",
            "JSON_OBJECT",
            "JSON_OBJECTAGG",
            "JSON_UNQUOTE",
            "JSON_VALUE",
            "LAG",
            "LEAD",
            "LEAST",
            "LEFT",
            "LENGTH",
            "LOCATE",
            "LOWER",
            "LPAD",
            "LTRIM",
            "MAX",
            "MD5",
            "MIN",
            "MINUTE",
            "MOD",
            "MONTH",
            "NOW",
            "NULLIF",
            "PI",
            "POSITION",
            "POW",
            "POWER",
            "RANK",
            "REPEAT",
            "REPLACE",
            "REVERSE",
            "RIGHT",
            "ROUND",
            "ROW_NUMBER",
            "RPAD",
            "RTRIM",
            "SECOND",
            "SHA1",
            "SHA2",
            "SIGN",
            "SQRT",
            "STDDEV",
            "STR_TO_DATE",
            "SUBSTR",
            "SUBSTRING",
            "SUBSTRING_INDEX",
            "SUM",
            "TIME",
            "TIMESTAMP",
            "TIMESTAMPDIFF",
            "TRIM",
            "TRUNCATE",
            "UNHEX",
            "UNIX_TIMESTAMP",
            "UPPER",
            "UTC_TIMESTAMP",
            "VARIANCE",
            "VERSION",
            "DATABASE",
            "SCHEMA",
            "USER",
            "CURRENT_USER",
            "WEEK",
            "YEAR");
    /** Functions that read state of the previous statement or of the connection. */
    private static final Set<String> SESSION_STATE_FUNCTIONS =
            Set.of("FOUND_ROWS", "ROW_COUNT", "LAST_INSERT_ID", "CONNECTION_ID");
    /** Keywords that may not occur anywhere in a read. */
    private static final Set<String> WRITE_KEYWORDS = Set.of(
            "INTO",
            "INSERT",
            "UPDATE",
            "DELETE",
            "LOCK",
            "SHARE",
            "ANALYZE",
            "PROCEDURE",
            "CALL",
            "SET",
            "SQL_CALC_FOUND_ROWS",
            "NEXTVAL",
            "NEXT");

    private static final Set<String> READ_VERBS = Set.of(
            "SELECT",
            "WITH",
            "SHOW",
            "DESCRIBE",
            "DESC",
            "EXPLAIN",
            "VALUES",
            "TABLE",
            CALL_PARENTHESIS,
            DETACHED_PARENTHESIS);
    private static final Set<String> IMPLICIT_COMMIT_VERBS = Set.of(
            "ALTER",
            "CREATE",
            "DROP",
            "RENAME",
            "TRUNCATE",
            "GRANT",
            "REVOKE",
            "ANALYZE",
            "OPTIMIZE",
            "REPAIR",
            "FLUSH",
            "RESET",
            "INSTALL",
            "UNINSTALL");

    /** Analyzes a text of one or several statements. */
    public static Statement analyze(String sql) {
        List<String> tokens = sql.length() > MAX_ANALYZED_CHARS ? null : tokenize(sql);
        if (tokens == null) {
            // The text cannot be analyzed: it may do anything, such as begin a transaction or take a lock.
            return new Statement(false, EnumSet.of(Trait.PINS_SESSION));
        }
        Set<Trait> traits = EnumSet.noneOf(Trait.class);
        boolean readOnly = !tokens.isEmpty();
        int from = 0;
        int statements = 0;
        for (int i = 0; i <= tokens.size(); i++) {
            if (i == tokens.size() || tokens.get(i).equals(";")) {
                if (i > from) {
                    readOnly &= analyzeOne(tokens.subList(from, i), traits);
                    statements++;
                }
                from = i + 1;
            }
        }
        return new Statement(readOnly && statements == 1, traits);
    }

    /** Whether a single statement is certainly a read; its traits are added. */
    private static boolean analyzeOne(List<String> tokens, Set<Trait> traits) {
        String verb = tokens.get(0);
        String second = tokens.size() > 1 ? tokens.get(1) : "";
        switch (verb) {
            case "BEGIN" -> traits.add(Trait.BEGINS_TRANSACTION);
            case "START" -> traits.add(second.equals("TRANSACTION") ? Trait.BEGINS_TRANSACTION : Trait.PINS_SESSION);
            case "COMMIT" -> traits.add(Trait.ENDS_TRANSACTION);
            // The transaction goes on after a rollback to a savepoint.
            case "ROLLBACK" -> traits.add(tokens.contains("TO") ? Trait.BEGINS_TRANSACTION : Trait.ENDS_TRANSACTION);
            case "SET" -> traits.add(isReplayable(tokens) ? Trait.SETS_VARIABLES : Trait.PINS_SESSION);
            case "USE" -> traits.add(Trait.SETS_VARIABLES);
            case "LOCK",
                    "UNLOCK",
                    "PREPARE",
                    "EXECUTE",
                    "DEALLOCATE",
                    "HANDLER",
                    "XA",
                    "SAVEPOINT",
                    "CALL",
                    "DO",
                    "LOAD" -> traits.add(Trait.PINS_SESSION);
            default -> {
                if (IMPLICIT_COMMIT_VERBS.contains(verb)) {
                    traits.add(tokens.contains("TEMPORARY") ? Trait.PINS_SESSION : Trait.ENDS_TRANSACTION);
                }
            }
        }
        if (tokens.contains("CHAIN") && (verb.equals("COMMIT") || verb.equals("ROLLBACK"))) {
            traits.add(Trait.BEGINS_TRANSACTION);
        }
        boolean readOnly = READ_VERBS.contains(verb);
        for (int i = 0; i < tokens.size(); i++) {
            String token = tokens.get(i);
            if (token.startsWith("@") && !token.startsWith("@@")) {
                // User variables exist only in the session in which another statement set them.
                traits.add(Trait.PINS_SESSION);
                readOnly = false;
            }
            if (token.equals("SQL_CALC_FOUND_ROWS")) {
                traits.add(Trait.PINS_SESSION);
            }
            String next = i + 1 < tokens.size() ? tokens.get(i + 1) : "";
            boolean called = next.equals(CALL_PARENTHESIS) || next.equals(DETACHED_PARENTHESIS);
            if (called && SESSION_STATE_FUNCTIONS.contains(token)) {
                traits.add(Trait.READS_SESSION_STATE);
                readOnly = false;
            } else if (called && isName(token) && !isPureCall(tokens, i, next)) {
                // This may be a stored function, which may do anything; the lock of a locking function lasts.
                readOnly = false;
                if (token.endsWith("_LOCK") || token.endsWith("_LOCKS")) {
                    traits.add(Trait.PINS_SESSION);
                }
            }
            readOnly &= !WRITE_KEYWORDS.contains(token)
                    && !token.equals(":=")
                    && !(token.equals("FOR") && !verb.equals("SHOW"));
        }
        return readOnly;
    }

    /** Whether a word before a parenthesis calls nothing, or a function without side effects. */
    private static boolean isPureCall(List<String> tokens, int at, String parenthesis) {
        // After the name of a schema it is a stored function, whatever its name.
        return (at == 0 || !tokens.get(at - 1).equals("."))
                && (KEYWORDS.contains(tokens.get(at))
                        || parenthesis.equals(CALL_PARENTHESIS) && PURE_FUNCTIONS.contains(tokens.get(at)));
    }

    /**
     * Whether a SET statement only changes plain session variables; user variables, passwords, transaction
     * settings and global variables cannot be replayed.
     */
    private static boolean isReplayable(List<String> tokens) {
        return tokens.stream()
                .noneMatch(token -> token.startsWith("@") && !token.startsWith("@@")
                        || token.equals("GLOBAL")
                        || token.equals("PERSIST")
                        || token.equals("PERSIST_ONLY")
                        || token.equals("PASSWORD")
                        || token.equals("TRANSACTION")
                        || token.equals("AUTOCOMMIT")
                        || token.startsWith("@@GLOBAL")
                        || token.startsWith("@@PERSIST")
                        || token.equals("@@AUTOCOMMIT")
                        || token.equals("@@SESSION.AUTOCOMMIT"));
    }

    private static boolean isName(String token) {
        return Character.isLetterOrDigit(token.charAt(0)) || token.charAt(0) == '_' || token.charAt(0) == '`';
    }

    // ---------------------------------------------------------------- tokens

    /**
     * Splits a text into tokens: words in upper case, quoted names with their opening quote, and single
     * symbols; literals are omitted. Returns null if the text ends within a quote or a comment, or contains an
     * executable comment.
     */
    private static List<String> tokenize(String sql) {
        List<String> tokens = new ArrayList<>();
        int at = 0;
        while (at < sql.length()) {
            char c = sql.charAt(at);
            if (Character.isWhitespace(c)) {
                at++;
            } else if (c == '#'
                    || c == '-' && sql.startsWith("--", at) && (at + 2 == sql.length() || sql.charAt(at + 2) <= ' ')) {
                int end = sql.indexOf('\n', at);
                at = end < 0 ? sql.length() : end + 1;
            } else if (sql.startsWith("/*", at)) {
                int end = sql.indexOf("*/", at + 2);
                if (end < 0 || sql.startsWith("/*!", at) || sql.startsWith("/*M!", at)) {
                    return null;
                }
                at = end + 2;
            } else if (c == '\'' || c == '"' || c == '`') {
                int end = endOfQuote(sql, at);
                if (end < 0) {
                    return null;
                }
                if (c == '`') {
                    tokens.add("`" + sql.substring(at + 1, end).toUpperCase(Locale.ROOT));
                } else if (c == '"') {
                    // A string, or a quoted name in some SQL modes: a function that is called by a quoted name must
                    // not pass for a string.
                    tokens.add("`\"");
                }
                at = end + 1;
            } else if (isIdentifierPart(c) || c == '@') {
                int end = at + 1;
                while (end < sql.length()
                        && (isIdentifierPart(sql.charAt(end))
                                || sql.charAt(end) == '@'
                                || sql.charAt(end) == '.' && c == '@')) {
                    end++;
                }
                // Names may begin with digits; plain numbers are omitted.
                if (!sql.substring(at, end).chars().allMatch(Character::isDigit)) {
                    tokens.add(sql.substring(at, end).toUpperCase(Locale.ROOT));
                }
                at = end;
            } else if (sql.startsWith(":=", at)) {
                tokens.add(":=");
                at += 2;
            } else {
                boolean detached =
                        c == '(' && (at == 0 || !isIdentifierPart(sql.charAt(at - 1)) && sql.charAt(at - 1) != '`');
                tokens.add(detached ? DETACHED_PARENTHESIS : String.valueOf(c));
                at++;
            }
        }
        return tokens;
    }

    private static boolean isIdentifierPart(char c) {
        return Character.isLetterOrDigit(c) || c == '_' || c == '$';
    }

    /** Returns the position of the closing quote, or -1 if the text does not have one for certain. */
    private static int endOfQuote(String sql, int from) {
        char quote = sql.charAt(from);
        for (int at = from + 1; at < sql.length(); at++) {
            char c = sql.charAt(at);
            if (c == '\\' && quote != '`') {
                // Whether a backslash escapes depends on the SQL mode of the server. Before a quote the two
                // interpretations differ, so such a text is not analyzed.
                if (at + 1 < sql.length() && sql.charAt(at + 1) == quote) {
                    return -1;
                }
                at++;
            } else if (c == quote) {
                if (at + 1 < sql.length() && sql.charAt(at + 1) == quote) {
                    at++;
                } else {
                    return at;
                }
            }
        }
        return -1;
    }
}
