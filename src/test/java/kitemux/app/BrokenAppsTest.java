package kitemux.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks that every invalid description is reported, under the rule that it violates and under no other rule. */
class BrokenAppsTest {

    private static String validDescription() {
        try {
            return Files.readString(Path.of("examples", "app", "ordering-desk.hcl"));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * An invalid description: the violated rule, a text that its finding contains, and the changes to the valid
     * description, as pairs of an old and a new text.
     */
    private static Arguments invalid(Rule rule, String field, String... changes) {
        return Arguments.of(rule, field, List.of(changes));
    }

    private static final String NEVER_TWICE_LINE = "again    = \"never-twice\"";
    private static final String KEYED_LINE = "again    = \"keyed\"";
    private static final String POOL_FORMAT = "pool \"all\" {\n  servers = [%s]\n}\nquota = 300";

    private static final String QUOTA_LINE = "quota = 300";

    private static String membersBlock(String line) {
        return "\nmembers {\n  " + line + "\n}";
    }

    private static String healthBlock(String line) {
        return "\nhealth {\n  " + line + "\n}";
    }

    private static String poolBlock(String servers) {
        return String.format(POOL_FORMAT, servers);
    }

    private static String serverBlock(int number, int rack, String extraLines) {
        return "server \"web-" + number + "\" {\n  address = \"127.0.0.1:900" + number
                + "\"\n  rack    = " + rack + "\n"
                + extraLines + "}\n";
    }

    /** A class block with additional lines. */
    private static String classBlock(String name, String retrySafety, String extraLines) {
        return "class \"" + name + "\" {\n  aim = \"200ms\"\n  deadline = \"600ms\"\n  again = \"" + retrySafety
                + "\"\n  "
                + extraLines + "\n}\n\n";
    }

    static Stream<Arguments> invalidDescriptions() {
        return Stream.of(
                // Classes that must never run twice, and keyed classes.
                invalid(Rule.NEVER_TWICE, "place-order", NEVER_TWICE_LINE, "again = \"safe\""),
                invalid(
                        Rule.NEVER_TWICE,
                        "place-order",
                        NEVER_TWICE_LINE,
                        "again = \"keyed\"\n  group = \"rack\"\n" + "  window = \"1s\""),
                invalid(Rule.NEVER_TWICE, "attempts", NEVER_TWICE_LINE, NEVER_TWICE_LINE + "\n  attempts = 2"),
                invalid(Rule.NEVER_TWICE, "attempts", NEVER_TWICE_LINE, NEVER_TWICE_LINE + "\n  attempts = 4"),
                invalid(Rule.NEVER_TWICE, "window", NEVER_TWICE_LINE, NEVER_TWICE_LINE + "\n  window = \"1200ms\""),
                invalid(Rule.COPIES, "second_copies", NEVER_TWICE_LINE, NEVER_TWICE_LINE + "\n  second_copies = true"),
                invalid(Rule.NEVER_TWICE, "view-page", "[\"place-order\"]", "[\"place-order\", \"view-page\"]"),
                invalid(Rule.NEVER_TWICE, "add-photo", "[\"place-order\"]", "[\"add-photo\"]"),
                invalid(Rule.UNKNOWN, "never_twice", "[\"place-order\"]", "[\"place-orders\"]"),
                invalid(Rule.WINDOW, "window", "window   = \"1200ms\"", "window = \"2s\""),
                invalid(Rule.WINDOW, "window", "window   = \"1200ms\"\n", ""),
                invalid(Rule.WINDOW, "window", "kept   = \"1500ms\"", "kept = \"1199ms\""),
                invalid(Rule.WINDOW, "window", "  kept   = \"1500ms\"\n", ""),
                invalid(Rule.GROUP, "group", "  group    = \"rack\"\n", ""),
                invalid(Rule.GROUP, "group", "group    = \"rack\"", "group = \"all\""),
                invalid(Rule.JOURNAL, "journaled", "quota = 300", "quota = 300\njournaled = true"),
                invalid(
                        Rule.JOURNAL,
                        "journaled",
                        "quota = 300",
                        "quota = 300\njournaled = true\norders {\n" + "  late = \"50ms\"\n}"),
                invalid(
                        Rule.NEVER_TWICE,
                        "view-page",
                        "[\"place-order\"]",
                        "[\"place-order\", \"add-photo\"," + " \"view-page\"]"),
                invalid(Rule.NEVER_TWICE, "attempts", NEVER_TWICE_LINE, NEVER_TWICE_LINE + "\n  attempts = 3"),
                invalid(Rule.NEVER_TWICE, "window", NEVER_TWICE_LINE, NEVER_TWICE_LINE + "\n  window = \"2us\""),
                invalid(
                        Rule.NEVER_TWICE,
                        "place-order",
                        NEVER_TWICE_LINE,
                        "again = \"keyed\"\n  group = \"rack\"\n" + "  window = \"1500ms\""),
                invalid(
                        Rule.NEVER_TWICE,
                        "refund",
                        "class \"place-order\"",
                        classBlock("refund", "safe", "") + "class \"place-order\"",
                        "[\"place-order\"]",
                        "[\"place-order\", \"refund\"]"),
                invalid(
                        Rule.COPIES,
                        "refund",
                        "class \"place-order\"",
                        classBlock("refund", "never-twice", "second_copies = true") + "class \"place-order\""),
                invalid(
                        Rule.NEVER_TWICE,
                        "refund",
                        "class \"place-order\"",
                        classBlock("refund", "never-twice", "attempts = 2") + "class \"place-order\""),
                invalid(Rule.UNKNOWN, "never_twice", "[\"place-order\"]", "[\"place-order\", \"pay\"]"),
                invalid(Rule.UNKNOWN, "never_twice", "class \"place-order\"", "class \"place_order\""),
                invalid(Rule.UNKNOWN, "never_twice", "[\"place-order\"]", "[\"place-order\", \"\"]"),
                invalid(Rule.WINDOW, "window", "window   = \"1200ms\"", "window = \"1501ms\""),
                invalid(Rule.WINDOW, "window", "window   = \"1200ms\"", "window = \"0ms\""),
                invalid(Rule.WINDOW, "window", "kept   = \"1500ms\"", "kept = \"0s\""),
                invalid(
                        Rule.WINDOW,
                        "comment",
                        "class \"place-order\"",
                        classBlock("comment", "keyed", "group = \"rack\"\n  window = \"1m\"")
                                + "class \"place-order\""),
                invalid(
                        Rule.GROUP,
                        "comment",
                        "class \"place-order\"",
                        classBlock("comment", "keyed", "window = \"1s\"") + "class \"place-order\""),
                // Servers that are draining or gone, and pools.
                invalid(Rule.DRAINED, "pool \"all\"", "quota = 300", poolBlock("\"web-1\", \"web-3\"")),
                invalid(
                        Rule.DRAINED,
                        "pool \"all\"",
                        "quota = 300",
                        poolBlock("\"web-1\", \"web-2\""),
                        "rack    = 1",
                        "rack = 1\n  state = \"gone\""),
                invalid(
                        Rule.DRAINED,
                        "pool \"all\"",
                        "quota = 300",
                        poolBlock("\"web-1\", \"web-2\""),
                        "rack    = 1",
                        "rack = 1\n  state = \"draining\""),
                invalid(Rule.EMPTY, "pool \"all\"", "quota = 300", poolBlock("")),
                invalid(
                        Rule.EMPTY,
                        "server",
                        "rack    = 0\n}",
                        "rack = 0\n  state = \"gone\"\n}",
                        "rack    = 1",
                        "rack = 1\n  state = \"draining\""),
                invalid(
                        Rule.EMPTY,
                        "discovery",
                        serverBlock(1, 0, ""),
                        "",
                        serverBlock(2, 1, ""),
                        "",
                        serverBlock(3, 0, "  state   = \"draining\"\n"),
                        ""),
                invalid(Rule.UNKNOWN, "pool \"all\"", "quota = 300", poolBlock("\"web-1\", \"web-9\"")),
                invalid(Rule.TWICE, "pool \"all\"", "quota = 300", poolBlock("\"web-1\", \"web-1\"")),
                invalid(Rule.UNKNOWN, "pool", NEVER_TWICE_LINE, NEVER_TWICE_LINE + "\n  pool = \"orders\""),
                invalid(Rule.NOT_YET, "attempts", KEYED_LINE, KEYED_LINE + "\n  attempts = 2"),
                invalid(
                        Rule.NOT_YET,
                        "second_copies",
                        KEYED_LINE,
                        KEYED_LINE + "\n  second_copies = true",
                        "second_copies = true\n  connect",
                        "second_copies = false\n  connect"),
                invalid(Rule.DRAINED, "pool \"all\"", "quota = 300", poolBlock("\"web-3\"")),
                invalid(Rule.DRAINED, "pool \"all\"", "quota = 300", poolBlock("\"web-3\", \"web-2\"")),
                invalid(Rule.DRAINED, "pool \"all\"", "quota = 300", poolBlock("\"web-1\", \"web-2\", \"web-3\"")),
                invalid(
                        Rule.DRAINED,
                        "pool \"all\"",
                        "quota = 300",
                        poolBlock("\"web-3\""),
                        "\"draining\"",
                        "\"gone\""),
                invalid(
                        Rule.DRAINED,
                        "is gone",
                        "quota = 300",
                        poolBlock("\"web-1\", \"web-3\""),
                        "\"draining\"",
                        "\"gone\""),
                invalid(
                        Rule.DRAINED,
                        "is draining",
                        "quota = 300",
                        poolBlock("\"web-2\", \"web-1\""),
                        "9001\"\n  rack    = 0\n",
                        "9001\"\n  rack = 0\n  state = \"draining\"\n"),
                invalid(
                        Rule.EMPTY,
                        "server",
                        "9001\"\n  rack    = 0\n",
                        "9001\"\n  state = \"draining\"\n",
                        "rack    = 1",
                        "rack = 1\n  state = \"draining\""),
                invalid(
                        Rule.EMPTY,
                        "server",
                        "9001\"\n  rack    = 0\n",
                        "9001\"\n  state = \"gone\"\n",
                        "rack    = 1",
                        "rack = 1\n  state = \"gone\"",
                        "\"draining\"",
                        "\"gone\""),
                // Addresses.
                invalid(Rule.TWICE, "web-2", "127.0.0.1:9002", "127.0.0.1:9001"),
                invalid(Rule.TWICE, "web-2", "127.0.0.1:9002", "127.0.0.1:8080"),
                invalid(Rule.TWICE, "discovery", "quota = 300", "quota = 300\ndiscovery = \"127.0.0.1:8080\""),
                invalid(Rule.ADDRESS, "listen", "127.0.0.1:8080", "localhost:8080"),
                invalid(Rule.ADDRESS, "listen", "127.0.0.1:8080", "127.0.0.1"),
                invalid(Rule.ADDRESS, "listen", "127.0.0.1:8080", "127.0.0.1:0"),
                invalid(Rule.ADDRESS, "listen", "127.0.0.1:8080", "127.0.0.1:65536"),
                invalid(Rule.ADDRESS, "listen", "127.0.0.1:8080", "127.0.0.256:8080"),
                invalid(Rule.ADDRESS, "listen", "127.0.0.1:8080", "[::1]:8080"),
                invalid(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "web-1.example.org:9001"),
                invalid(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "192.168.7.1:9001"),
                invalid(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "10.1.0.0/24:9001"),
                invalid(Rule.ADDRESS, "networks", "\"10.1.0.0/16\"", "\"everywhere\""),
                invalid(Rule.ADDRESS, "networks", "\"10.1.0.0/16\"", "\"10.1.0.1\""),
                invalid(Rule.ADDRESS, "discovery", "quota = 300", "quota = 300\ndiscovery = \"lists\""),
                invalid(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "127.1:9001"),
                invalid(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "0x7f.0.0.1:9001"),
                invalid(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "127.000.000.001:9001"),
                invalid(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "127.0.0.1-3:9001"),
                invalid(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "127.0.0.1:90 01"),
                invalid(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "127.0.0.1:"),
                invalid(Rule.ADDRESS, "web-1", "127.0.0.1:9001", ":9001"),
                invalid(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "http://127.0.0.1:9001"),
                invalid(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "127.0.0.1:9001/up"),
                invalid(Rule.ADDRESS, "listen", "127.0.0.1:8080", "*:8080"),
                invalid(Rule.ADDRESS, "listen", "127.0.0.1:8080", "127.0.0.1:08080"),
                invalid(Rule.ADDRESS, "networks", "\"127.0.0.0/8\", \"10.1.0.0/16\"", "\"10.1.0.0/33\""),
                invalid(
                        Rule.ADDRESS,
                        "web-2",
                        "\"127.0.0.0/8\"",
                        "\"127.0.0.1/32\"",
                        "127.0.0.1:9002",
                        "127.0.0.2:9002"),
                invalid(Rule.TWICE, "web-3", "127.0.0.1:9003", "127.0.0.1:9001"),
                // Times and deadlines.
                invalid(Rule.TIMES, "aim", "aim      = \"100ms\"", "aim = \"501ms\""),
                invalid(Rule.TIMES, "deadline", "deadline = \"1s\"", "deadline = \"2h\""),
                invalid(Rule.TIMES, "cold", "  cold      = \"18s\"\n", ""),
                invalid(Rule.ATTEMPTS, "deadline", "connect       = \"100ms\"", "connect = \"500ms\""),
                invalid(Rule.ATTEMPTS, "deadline", "connect       = \"100ms\"", "connect = \"550ms\""),
                invalid(Rule.TIMES, "aim", "aim      = \"100ms\"", "aim = \"0ms\""),
                invalid(Rule.TIMES, "aim", "aim      = \"100ms\"", "aim = \"900us\""),
                invalid(Rule.TIMES, "connect", "connect       = \"100ms\"", "connect = \"0ms\""),
                invalid(Rule.TIMES, "idle", "connect       = \"100ms\"", "connect = \"100ms\"\n  idle = \"99ms\""),
                invalid(Rule.TIMES, "cold", "cold      = \"18s\"", "cold = \"0s\""),
                invalid(Rule.ATTEMPTS, "view-page", "deadline = \"500ms\"", "deadline = \"100ms\""),
                // Shares and limits.
                invalid(Rule.SHARES, "tenant", "share = 0.4", "share = 0.41"),
                invalid(Rule.SHARES, "school-b", "share = 0.4", "share = 0"),
                invalid(Rule.SHARES, "quota", "quota = 300\n", ""),
                invalid(Rule.SHARES, "quota", "quota = 300", "quota = -1"),
                invalid(Rule.LIMITS, "sockets", "sockets       = 1024", "sockets = 32"),
                invalid(Rule.LIMITS, "sockets", "sockets       = 1024", "sockets = 4096"),
                invalid(
                        Rule.LIMITS,
                        "memory_mib",
                        "memory_mib    = 128",
                        "memory_mib = 32",
                        "sockets       = 1024",
                        "sockets = 128"),
                invalid(Rule.LIMITS, "attempts", "attempts      = 4", "attempts = 17"),
                invalid(Rule.LIMITS, "attempts", "attempts      = 4", "attempts = 0"),
                invalid(Rule.LIMITS, "cold_from", "cold_from = 0.2", "cold_from = 1.2"),
                invalid(Rule.LIMITS, "overload", "cold_from = 0.2", "cold_from = 0.2\n  overload = 0.5"),
                invalid(Rule.LIMITS, "worth", "worth    = 5\n}\n\nclass", "worth = 0\n}\n\nclass"),
                invalid(Rule.LIMITS, "rack", "rack    = 1", "rack = -1"),
                invalid(Rule.SECRET, "limits.api_key", "attempts      = 4", "attempts = 4\n  api_key = \"k3\""),
                invalid(Rule.SHARES, "school-a", "share = 0.6", "share = -0.6"),
                invalid(Rule.SHARES, "tenant", "share = 0.6", "share = 60", "share = 0.4", "share = 40"),
                invalid(Rule.LIMITS, "late_worth", "worth    = 5\n}\n\nclass", "late_worth = 2\n}\n\nclass"),
                invalid(Rule.LIMITS, "cold_from", "cold_from = 0.2", "cold_from = 0"),
                invalid(
                        Rule.LIMITS,
                        "sockets",
                        "sockets       = 1024",
                        "sockets = 70000",
                        "memory_mib    = 128",
                        "memory_mib = 65536"),
                invalid(Rule.LIMITS, "attempts", NEVER_TWICE_LINE, NEVER_TWICE_LINE + "\n  attempts = -1"),
                invalid(Rule.SECRET, "password", "quota = 300", "quota = 300\npassword = \"hunter2\""),
                invalid(Rule.SECRET, "token", "  kept   = \"1500ms\"", "  kept = \"1500ms\"\n  token = \"t\""),
                // Syntax and types; then sources of servers, health checks, operators and logs.
                invalid(Rule.SHAPE, "name", "name        = \"ordering-desk\"\n", ""),
                invalid(Rule.SHAPE, "name", "\"ordering-desk\"", "\" \""),
                invalid(Rule.SHAPE, "class", "again    = \"safe\"\n  aim      = \"100ms\"\n", "agian = \"safe\"\n"),
                invalid(Rule.SHAPE, "share", "share = 0.4", "share = \"some\""),
                invalid(Rule.SHAPE, "second_copies", "second_copies = true\n  connect", "second_copies = 1\n  connect"),
                invalid(Rule.SHAPE, "rack", "rack    = 1", "rack = \"one\""),
                invalid(Rule.SHAPE, "limits", "limits {", "limit {"),
                invalid(Rule.SHAPE, "closes nothing", "share = 0.4\n}", "share = 0.4\n}\n}"),
                invalid(Rule.SHAPE, "there twice", "  kept   = \"1500ms\"", "  kept = \"1500ms\"\n  kept = \"9s\""),
                invalid(Rule.SHAPE, "there twice", "tenant \"school-b\"", "tenant \"school-a\""),
                invalid(Rule.SHAPE, "shared", "shared = \"rack\"", "shared = \"room\""),
                invalid(Rule.SHAPE, "networks", "[\"127.0.0.0/8\", \"10.1.0.0/16\"]", "\"127.0.0.0/8\""),
                invalid(Rule.SHAPE, "listen", "listen      = \"127.0.0.1:8080\"\n", ""),
                invalid(Rule.SHAPE, "again", NEVER_TWICE_LINE, "again = \"once\""),
                invalid(Rule.SHAPE, "again", NEVER_TWICE_LINE + "\n", ""),
                invalid(Rule.SHAPE, "colour", "quota = 300", "quota = 300\ncolour = \"red\""),
                invalid(Rule.SHAPE, "deadline", "deadline = \"1s\"", "deadline = 1000"),
                invalid(Rule.SHAPE, "deadline", "deadline = \"1s\"", "deadline = \"1 second\""),
                invalid(Rule.SHAPE, "attempts", "attempts      = 4", "attempts = 2.5"),
                invalid(Rule.SHAPE, "state", "\"draining\"", "\"sleeping\""),
                invalid(Rule.SHAPE, "never_twice", "[\"place-order\"]", "\"place-order\""),
                invalid(Rule.SHAPE, "never closed", "share = 0.4\n}", "share = 0.4\n"),
                invalid(Rule.SHAPE, "there twice", "class \"add-photo\"", "class \"view-page\""),
                invalid(Rule.SHAPE, "there twice", "quota = 300", "quota = 300\nquota = 200"),
                invalid(Rule.SHAPE, "there twice", "server \"web-2\"", "server \"web-1\""),
                invalid(Rule.SOURCES, "members.file", QUOTA_LINE, QUOTA_LINE + membersBlock("file = \"servers.json\"")),
                invalid(
                        Rule.SOURCES,
                        "members.list",
                        QUOTA_LINE,
                        QUOTA_LINE + membersBlock("list = \"http://10.1.0.9:80/l\"")),
                invalid(
                        Rule.SOURCES,
                        "members.list",
                        QUOTA_LINE,
                        QUOTA_LINE + "\ndiscovery = \"10.1.0.9:8500\""
                                + membersBlock("list = \"http://10.1.0.9:80/l\"")),
                invalid(Rule.TIMES, "members.back_off", QUOTA_LINE, QUOTA_LINE + membersBlock("refresh = \"2m\"")),
                invalid(Rule.TIMES, "members.refresh", QUOTA_LINE, QUOTA_LINE + membersBlock("refresh = \"10ms\"")),
                invalid(Rule.LIMITS, "members.most_lost", QUOTA_LINE, QUOTA_LINE + membersBlock("most_lost = 50")),
                invalid(Rule.LIMITS, "health.most_out", QUOTA_LINE, QUOTA_LINE + healthBlock("most_out = 1")),
                invalid(Rule.LIMITS, "health.fall", QUOTA_LINE, QUOTA_LINE + healthBlock("fall = 0")),
                invalid(Rule.TIMES, "health.timeout", QUOTA_LINE, QUOTA_LINE + healthBlock("every = \"300ms\"")),
                invalid(Rule.TIMES, "health.most_hold", QUOTA_LINE, QUOTA_LINE + healthBlock("hold = \"1h\"")),
                invalid(Rule.ADDRESS, "health.path", QUOTA_LINE, QUOTA_LINE + healthBlock("path = \"healthz\"")),
                invalid(
                        Rule.NOT_YET,
                        "health",
                        QUOTA_LINE,
                        QUOTA_LINE + "\ndiscovery = \"10.1.0.9:8500\"" + healthBlock("rise = 1")),
                invalid(Rule.TWICE, "operators", QUOTA_LINE, QUOTA_LINE + "\noperators = \"127.0.0.1:8080\""),
                invalid(Rule.ADDRESS, "operators", QUOTA_LINE, QUOTA_LINE + "\noperators = \"localhost:9090\""),
                invalid(Rule.LIMITS, "logs.queue", QUOTA_LINE, QUOTA_LINE + "\nlogs {\n  queue = 1\n}"),
                invalid(Rule.SHAPE, "logs.form", QUOTA_LINE, QUOTA_LINE + "\nlogs {\n  form = \"xml\"\n}"),
                invalid(Rule.SHAPE, "health.often", QUOTA_LINE, QUOTA_LINE + healthBlock("often = true")));
    }

    private static String applyChanges(List<String> changes) {
        String text = validDescription();
        for (int i = 0; i < changes.size(); i += 2) {
            assertTrue(text.contains(changes.get(i)), "text to replace not found: " + changes.get(i));
            text = text.replace(changes.get(i), changes.get(i + 1));
        }
        return text;
    }

    @ParameterizedTest
    @MethodSource("invalidDescriptions")
    void invalidDescriptionIsReportedUnderItsRuleOnly(Rule rule, String field, List<String> changes) {
        AppParser.Result result = AppParser.parse(applyChanges(changes));
        assertTrue(
                result.findings().stream()
                        .anyMatch(finding ->
                                finding.rule() == rule && finding.format().contains(field)),
                () -> "findings: "
                        + result.findings().stream().map(Finding::format).toList());
        if (rule != Rule.SHAPE && rule != Rule.SECRET) {
            Set<Rule> reportedRules = EnumSet.noneOf(Rule.class);
            result.findings().forEach(finding -> reportedRules.add(finding.rule()));
            // A pool without a ready server names only draining or gone servers, which violates DRAINED as well, or
            // none.
            reportedRules.remove(rule == Rule.EMPTY ? Rule.DRAINED : Rule.EMPTY);
            assertEquals(
                    EnumSet.of(rule), reportedRules, () -> result.findings().toString());
        }
        if (result.app() != null && result.findings().stream().noneMatch(finding -> finding.rule() == Rule.SHAPE)) {
            assertThrows(IllegalArgumentException.class, () -> ConfigWriter.toJson(result.app(), "1"));
        }
    }

    @Test
    void validDescriptionHasNoFindingsAndEveryRuleIsCovered() {
        assertEquals(List.of(), AppParser.parse(validDescription()).findings());
        assertEquals(
                List.of(),
                AppParser.parse("\uFEFF" + validDescription().replace("\n", "\r\n"))
                        .findings());
        assertTrue(
                invalidDescriptions().count() >= 120,
                "number of invalid descriptions: " + invalidDescriptions().count());
        Set<Rule> coveredRules = new HashSet<>();
        invalidDescriptions()
                .forEach(arguments -> coveredRules.add((Rule) arguments.get()[0]));
        // A description with several pools also violates NOT_YET, so it is checked separately below.
        coveredRules.add(Rule.UNSERVED);
        assertEquals(Set.of(Rule.values()), coveredRules);
        AppParser.Result pools = AppParser.parse(applyChanges(
                List.of("quota = 300", poolBlock("\"web-1\"") + "\npool \"b\" {\n  servers = [\"web-2\"]\n}")));
        assertTrue(pools.findings().stream().anyMatch(finding -> finding.rule() == Rule.UNSERVED));
        assertTrue(pools.findings().stream().anyMatch(finding -> finding.rule() == Rule.NOT_YET));
    }

    @Test
    void writtenConfigIsReproducibleAndOmitsUnservedServers() {
        AppParser.Result result = AppParser.parse(validDescription());
        String json = ConfigWriter.toJson(result.app(), "7f");
        assertEquals(
                json, ConfigWriter.toJson(AppParser.parse(validDescription()).app(), "7f"));
        assertTrue(json.contains("\"state\" : \"Terminating\""), json);
        String gone = ConfigWriter.toJson(
                AppParser.parse(applyChanges(List.of("\"draining\"", "\"gone\"")))
                        .app(),
                "7f");
        assertFalse(gone.contains("web-3"), gone);
        String pool = ConfigWriter.toJson(
                AppParser.parse(applyChanges(List.of("quota = 300", poolBlock("\"web-2\""))))
                        .app(),
                "7f");
        assertTrue(pool.contains("web-2") && !pool.contains("web-1"), pool);
    }
}
