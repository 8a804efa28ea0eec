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

/** Descriptions broken on purpose: each is caught, with the code of the rule that it breaks and no other. */
class BrokenAppsTest {

    private static String sound() {
        try {
            return Files.readString(Path.of("examples", "app", "ordering-desk.hcl"));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The rule that is broken, and what takes the place of what in the sound description. */
    private static Arguments broken(Rule rule, String field, String... changes) {
        return Arguments.of(rule, field, List.of(changes));
    }

    private static final String ORDER = "again    = \"never-twice\"";
    private static final String PHOTO = "again    = \"keyed\"";
    private static final String POOL = "pool \"all\" {\n  servers = [%s]\n}\nquota = 300";

    private static final String QUOTA = "quota = 300";

    private static String members(String line) {
        return "\nmembers {\n  " + line + "\n}";
    }

    private static String health(String line) {
        return "\nhealth {\n  " + line + "\n}";
    }

    private static String pool(String servers) {
        return String.format(POOL, servers);
    }

    private static String server(int number, int rack, String more) {
        return "server \"web-" + number + "\" {\n  address = \"127.0.0.1:900" + number
                + "\"\n  rack    = " + rack + "\n"
                + more + "}\n";
    }

    /** A class more, with more lines. */
    private static String work(String name, String again, String more) {
        return "class \"" + name + "\" {\n  aim = \"200ms\"\n  deadline = \"600ms\"\n  again = \"" + again
                + "\"\n  "
                + more + "\n}\n\n";
    }

    static Stream<Arguments> all() {
        return Stream.of(
                // Work that must never run twice.
                broken(Rule.NEVER_TWICE, "place-order", ORDER, "again = \"safe\""),
                broken(
                        Rule.NEVER_TWICE,
                        "place-order",
                        ORDER,
                        "again = \"keyed\"\n  group = \"rack\"\n" + "  window = \"1s\""),
                broken(Rule.NEVER_TWICE, "attempts", ORDER, ORDER + "\n  attempts = 2"),
                broken(Rule.NEVER_TWICE, "attempts", ORDER, ORDER + "\n  attempts = 4"),
                broken(Rule.NEVER_TWICE, "window", ORDER, ORDER + "\n  window = \"1200ms\""),
                broken(Rule.COPIES, "second_copies", ORDER, ORDER + "\n  second_copies = true"),
                broken(Rule.NEVER_TWICE, "view-page", "[\"place-order\"]", "[\"place-order\", \"view-page\"]"),
                broken(Rule.NEVER_TWICE, "add-photo", "[\"place-order\"]", "[\"add-photo\"]"),
                broken(Rule.UNKNOWN, "never_twice", "[\"place-order\"]", "[\"place-orders\"]"),
                broken(Rule.WINDOW, "window", "window   = \"1200ms\"", "window = \"2s\""),
                broken(Rule.WINDOW, "window", "window   = \"1200ms\"\n", ""),
                broken(Rule.WINDOW, "window", "kept   = \"1500ms\"", "kept = \"1199ms\""),
                broken(Rule.WINDOW, "window", "  kept   = \"1500ms\"\n", ""),
                broken(Rule.GROUP, "group", "  group    = \"rack\"\n", ""),
                broken(Rule.GROUP, "group", "group    = \"rack\"", "group = \"all\""),
                broken(Rule.JOURNAL, "journaled", "quota = 300", "quota = 300\njournaled = true"),
                broken(
                        Rule.JOURNAL,
                        "journaled",
                        "quota = 300",
                        "quota = 300\njournaled = true\norders {\n" + "  late = \"50ms\"\n}"),
                broken(
                        Rule.NEVER_TWICE,
                        "view-page",
                        "[\"place-order\"]",
                        "[\"place-order\", \"add-photo\"," + " \"view-page\"]"),
                broken(Rule.NEVER_TWICE, "attempts", ORDER, ORDER + "\n  attempts = 3"),
                broken(Rule.NEVER_TWICE, "window", ORDER, ORDER + "\n  window = \"2us\""),
                broken(
                        Rule.NEVER_TWICE,
                        "place-order",
                        ORDER,
                        "again = \"keyed\"\n  group = \"rack\"\n" + "  window = \"1500ms\""),
                broken(
                        Rule.NEVER_TWICE,
                        "refund",
                        "class \"place-order\"",
                        work("refund", "safe", "") + "class \"place-order\"",
                        "[\"place-order\"]",
                        "[\"place-order\", \"refund\"]"),
                broken(
                        Rule.COPIES,
                        "refund",
                        "class \"place-order\"",
                        work("refund", "never-twice", "second_copies = true") + "class \"place-order\""),
                broken(
                        Rule.NEVER_TWICE,
                        "refund",
                        "class \"place-order\"",
                        work("refund", "never-twice", "attempts = 2") + "class \"place-order\""),
                broken(Rule.UNKNOWN, "never_twice", "[\"place-order\"]", "[\"place-order\", \"pay\"]"),
                broken(Rule.UNKNOWN, "never_twice", "class \"place-order\"", "class \"place_order\""),
                broken(Rule.UNKNOWN, "never_twice", "[\"place-order\"]", "[\"place-order\", \"\"]"),
                broken(Rule.WINDOW, "window", "window   = \"1200ms\"", "window = \"1501ms\""),
                broken(Rule.WINDOW, "window", "window   = \"1200ms\"", "window = \"0ms\""),
                broken(Rule.WINDOW, "window", "kept   = \"1500ms\"", "kept = \"0s\""),
                broken(
                        Rule.WINDOW,
                        "comment",
                        "class \"place-order\"",
                        work("comment", "keyed", "group = \"rack\"\n  window = \"1m\"") + "class \"place-order\""),
                broken(
                        Rule.GROUP,
                        "comment",
                        "class \"place-order\"",
                        work("comment", "keyed", "window = \"1s\"") + "class \"place-order\""),
                // Servers that drain or are gone.
                broken(Rule.DRAINED, "pool \"all\"", "quota = 300", pool("\"web-1\", \"web-3\"")),
                broken(
                        Rule.DRAINED,
                        "pool \"all\"",
                        "quota = 300",
                        pool("\"web-1\", \"web-2\""),
                        "rack    = 1",
                        "rack = 1\n  state = \"gone\""),
                broken(
                        Rule.DRAINED,
                        "pool \"all\"",
                        "quota = 300",
                        pool("\"web-1\", \"web-2\""),
                        "rack    = 1",
                        "rack = 1\n  state = \"draining\""),
                broken(Rule.EMPTY, "pool \"all\"", "quota = 300", pool("")),
                broken(
                        Rule.EMPTY,
                        "server",
                        "rack    = 0\n}",
                        "rack = 0\n  state = \"gone\"\n}",
                        "rack    = 1",
                        "rack = 1\n  state = \"draining\""),
                broken(
                        Rule.EMPTY,
                        "discovery",
                        server(1, 0, ""),
                        "",
                        server(2, 1, ""),
                        "",
                        server(3, 0, "  state   = \"draining\"\n"),
                        ""),
                broken(Rule.UNKNOWN, "pool \"all\"", "quota = 300", pool("\"web-1\", \"web-9\"")),
                broken(Rule.TWICE, "pool \"all\"", "quota = 300", pool("\"web-1\", \"web-1\"")),
                broken(Rule.UNKNOWN, "pool", ORDER, ORDER + "\n  pool = \"orders\""),
                broken(Rule.NOT_YET, "attempts", PHOTO, PHOTO + "\n  attempts = 2"),
                broken(
                        Rule.NOT_YET,
                        "second_copies",
                        PHOTO,
                        PHOTO + "\n  second_copies = true",
                        "second_copies = true\n  connect",
                        "second_copies = false\n  connect"),
                broken(Rule.DRAINED, "pool \"all\"", "quota = 300", pool("\"web-3\"")),
                broken(Rule.DRAINED, "pool \"all\"", "quota = 300", pool("\"web-3\", \"web-2\"")),
                broken(Rule.DRAINED, "pool \"all\"", "quota = 300", pool("\"web-1\", \"web-2\", \"web-3\"")),
                broken(Rule.DRAINED, "pool \"all\"", "quota = 300", pool("\"web-3\""), "\"draining\"", "\"gone\""),
                broken(
                        Rule.DRAINED,
                        "is gone",
                        "quota = 300",
                        pool("\"web-1\", \"web-3\""),
                        "\"draining\"",
                        "\"gone\""),
                broken(
                        Rule.DRAINED,
                        "is draining",
                        "quota = 300",
                        pool("\"web-2\", \"web-1\""),
                        "9001\"\n  rack    = 0\n",
                        "9001\"\n  rack = 0\n  state = \"draining\"\n"),
                broken(
                        Rule.EMPTY,
                        "server",
                        "9001\"\n  rack    = 0\n",
                        "9001\"\n  state = \"draining\"\n",
                        "rack    = 1",
                        "rack = 1\n  state = \"draining\""),
                broken(
                        Rule.EMPTY,
                        "server",
                        "9001\"\n  rack    = 0\n",
                        "9001\"\n  state = \"gone\"\n",
                        "rack    = 1",
                        "rack = 1\n  state = \"gone\"",
                        "\"draining\"",
                        "\"gone\""),
                // Addresses.
                broken(Rule.TWICE, "web-2", "127.0.0.1:9002", "127.0.0.1:9001"),
                broken(Rule.TWICE, "web-2", "127.0.0.1:9002", "127.0.0.1:8080"),
                broken(Rule.TWICE, "discovery", "quota = 300", "quota = 300\ndiscovery = \"127.0.0.1:8080\""),
                broken(Rule.ADDRESS, "listen", "127.0.0.1:8080", "localhost:8080"),
                broken(Rule.ADDRESS, "listen", "127.0.0.1:8080", "127.0.0.1"),
                broken(Rule.ADDRESS, "listen", "127.0.0.1:8080", "127.0.0.1:0"),
                broken(Rule.ADDRESS, "listen", "127.0.0.1:8080", "127.0.0.1:65536"),
                broken(Rule.ADDRESS, "listen", "127.0.0.1:8080", "127.0.0.256:8080"),
                broken(Rule.ADDRESS, "listen", "127.0.0.1:8080", "[::1]:8080"),
                broken(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "web-1.example.org:9001"),
                broken(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "192.168.7.1:9001"),
                broken(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "10.1.0.0/24:9001"),
                broken(Rule.ADDRESS, "networks", "\"10.1.0.0/16\"", "\"everywhere\""),
                broken(Rule.ADDRESS, "networks", "\"10.1.0.0/16\"", "\"10.1.0.1\""),
                broken(Rule.ADDRESS, "discovery", "quota = 300", "quota = 300\ndiscovery = \"lists\""),
                broken(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "127.1:9001"),
                broken(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "0x7f.0.0.1:9001"),
                broken(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "127.000.000.001:9001"),
                broken(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "127.0.0.1-3:9001"),
                broken(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "127.0.0.1:90 01"),
                broken(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "127.0.0.1:"),
                broken(Rule.ADDRESS, "web-1", "127.0.0.1:9001", ":9001"),
                broken(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "http://127.0.0.1:9001"),
                broken(Rule.ADDRESS, "web-1", "127.0.0.1:9001", "127.0.0.1:9001/up"),
                broken(Rule.ADDRESS, "listen", "127.0.0.1:8080", "*:8080"),
                broken(Rule.ADDRESS, "listen", "127.0.0.1:8080", "127.0.0.1:08080"),
                broken(Rule.ADDRESS, "networks", "\"127.0.0.0/8\", \"10.1.0.0/16\"", "\"10.1.0.0/33\""),
                broken(
                        Rule.ADDRESS,
                        "web-2",
                        "\"127.0.0.0/8\"",
                        "\"127.0.0.1/32\"",
                        "127.0.0.1:9002",
                        "127.0.0.2:9002"),
                broken(Rule.TWICE, "web-3", "127.0.0.1:9003", "127.0.0.1:9001"),
                // Times.
                broken(Rule.TIMES, "aim", "aim      = \"100ms\"", "aim = \"501ms\""),
                broken(Rule.TIMES, "deadline", "deadline = \"1s\"", "deadline = \"2h\""),
                broken(Rule.TIMES, "cold", "  cold      = \"18s\"\n", ""),
                broken(Rule.ATTEMPTS, "deadline", "connect       = \"100ms\"", "connect = \"500ms\""),
                broken(Rule.ATTEMPTS, "deadline", "connect       = \"100ms\"", "connect = \"550ms\""),
                broken(Rule.TIMES, "aim", "aim      = \"100ms\"", "aim = \"0ms\""),
                broken(Rule.TIMES, "aim", "aim      = \"100ms\"", "aim = \"900us\""),
                broken(Rule.TIMES, "connect", "connect       = \"100ms\"", "connect = \"0ms\""),
                broken(Rule.TIMES, "idle", "connect       = \"100ms\"", "connect = \"100ms\"\n  idle = \"99ms\""),
                broken(Rule.TIMES, "cold", "cold      = \"18s\"", "cold = \"0s\""),
                broken(Rule.ATTEMPTS, "view-page", "deadline = \"500ms\"", "deadline = \"100ms\""),
                // Shares and limits.
                broken(Rule.SHARES, "tenant", "share = 0.4", "share = 0.41"),
                broken(Rule.SHARES, "school-b", "share = 0.4", "share = 0"),
                broken(Rule.SHARES, "quota", "quota = 300\n", ""),
                broken(Rule.SHARES, "quota", "quota = 300", "quota = -1"),
                broken(Rule.LIMITS, "sockets", "sockets       = 1024", "sockets = 32"),
                broken(Rule.LIMITS, "sockets", "sockets       = 1024", "sockets = 4096"),
                broken(
                        Rule.LIMITS,
                        "memory_mib",
                        "memory_mib    = 128",
                        "memory_mib = 32",
                        "sockets       = 1024",
                        "sockets = 128"),
                broken(Rule.LIMITS, "attempts", "attempts      = 4", "attempts = 17"),
                broken(Rule.LIMITS, "attempts", "attempts      = 4", "attempts = 0"),
                broken(Rule.LIMITS, "cold_from", "cold_from = 0.2", "cold_from = 1.2"),
                broken(Rule.LIMITS, "overload", "cold_from = 0.2", "cold_from = 0.2\n  overload = 0.5"),
                broken(Rule.LIMITS, "worth", "worth    = 5\n}\n\nclass", "worth = 0\n}\n\nclass"),
                broken(Rule.LIMITS, "rack", "rack    = 1", "rack = -1"),
                broken(Rule.SECRET, "limits.api_key", "attempts      = 4", "attempts = 4\n  api_key = \"k3\""),
                broken(Rule.SHARES, "school-a", "share = 0.6", "share = -0.6"),
                broken(Rule.SHARES, "tenant", "share = 0.6", "share = 60", "share = 0.4", "share = 40"),
                broken(Rule.LIMITS, "late_worth", "worth    = 5\n}\n\nclass", "late_worth = 2\n}\n\nclass"),
                broken(Rule.LIMITS, "cold_from", "cold_from = 0.2", "cold_from = 0"),
                broken(
                        Rule.LIMITS,
                        "sockets",
                        "sockets       = 1024",
                        "sockets = 70000",
                        "memory_mib    = 128",
                        "memory_mib = 65536"),
                broken(Rule.LIMITS, "attempts", ORDER, ORDER + "\n  attempts = -1"),
                broken(Rule.SECRET, "password", "quota = 300", "quota = 300\npassword = \"hunter2\""),
                broken(Rule.SECRET, "token", "  kept   = \"1500ms\"", "  kept = \"1500ms\"\n  token = \"t\""),
                // Shape.
                broken(Rule.SHAPE, "name", "name        = \"ordering-desk\"\n", ""),
                broken(Rule.SHAPE, "name", "\"ordering-desk\"", "\" \""),
                broken(Rule.SHAPE, "class", "again    = \"safe\"\n  aim      = \"100ms\"\n", "agian = \"safe\"\n"),
                broken(Rule.SHAPE, "share", "share = 0.4", "share = \"some\""),
                broken(Rule.SHAPE, "second_copies", "second_copies = true\n  connect", "second_copies = 1\n  connect"),
                broken(Rule.SHAPE, "rack", "rack    = 1", "rack = \"one\""),
                broken(Rule.SHAPE, "limits", "limits {", "limit {"),
                broken(Rule.SHAPE, "closes nothing", "share = 0.4\n}", "share = 0.4\n}\n}"),
                broken(Rule.SHAPE, "there twice", "  kept   = \"1500ms\"", "  kept = \"1500ms\"\n  kept = \"9s\""),
                broken(Rule.SHAPE, "there twice", "tenant \"school-b\"", "tenant \"school-a\""),
                broken(Rule.SHAPE, "shared", "shared = \"rack\"", "shared = \"room\""),
                broken(Rule.SHAPE, "networks", "[\"127.0.0.0/8\", \"10.1.0.0/16\"]", "\"127.0.0.0/8\""),
                broken(Rule.SHAPE, "listen", "listen      = \"127.0.0.1:8080\"\n", ""),
                broken(Rule.SHAPE, "again", ORDER, "again = \"once\""),
                broken(Rule.SHAPE, "again", ORDER + "\n", ""),
                broken(Rule.SHAPE, "colour", "quota = 300", "quota = 300\ncolour = \"red\""),
                broken(Rule.SHAPE, "deadline", "deadline = \"1s\"", "deadline = 1000"),
                broken(Rule.SHAPE, "deadline", "deadline = \"1s\"", "deadline = \"1 second\""),
                broken(Rule.SHAPE, "attempts", "attempts      = 4", "attempts = 2.5"),
                broken(Rule.SHAPE, "state", "\"draining\"", "\"sleeping\""),
                broken(Rule.SHAPE, "never_twice", "[\"place-order\"]", "\"place-order\""),
                broken(Rule.SHAPE, "never closed", "share = 0.4\n}", "share = 0.4\n"),
                broken(Rule.SHAPE, "there twice", "class \"add-photo\"", "class \"view-page\""),
                broken(Rule.SHAPE, "there twice", "quota = 300", "quota = 300\nquota = 200"),
                broken(Rule.SHAPE, "there twice", "server \"web-2\"", "server \"web-1\""),
                broken(Rule.SOURCES, "members.file", QUOTA, QUOTA + members("file = \"servers.json\"")),
                broken(Rule.SOURCES, "members.list", QUOTA, QUOTA + members("list = \"http://10.1.0.9:80/l\"")),
                broken(
                        Rule.SOURCES,
                        "members.list",
                        QUOTA,
                        QUOTA + "\ndiscovery = \"10.1.0.9:8500\"" + members("list = \"http://10.1.0.9:80/l\"")),
                broken(Rule.TIMES, "members.back_off", QUOTA, QUOTA + members("refresh = \"2m\"")),
                broken(Rule.TIMES, "members.refresh", QUOTA, QUOTA + members("refresh = \"10ms\"")),
                broken(Rule.LIMITS, "members.most_lost", QUOTA, QUOTA + members("most_lost = 50")),
                broken(Rule.LIMITS, "health.most_out", QUOTA, QUOTA + health("most_out = 1")),
                broken(Rule.LIMITS, "health.fall", QUOTA, QUOTA + health("fall = 0")),
                broken(Rule.TIMES, "health.timeout", QUOTA, QUOTA + health("every = \"300ms\"")),
                broken(Rule.TIMES, "health.most_hold", QUOTA, QUOTA + health("hold = \"1h\"")),
                broken(Rule.ADDRESS, "health.path", QUOTA, QUOTA + health("path = \"healthz\"")),
                broken(Rule.NOT_YET, "health", QUOTA, QUOTA + "\ndiscovery = \"10.1.0.9:8500\"" + health("rise = 1")),
                broken(Rule.TWICE, "operators", QUOTA, QUOTA + "\noperators = \"127.0.0.1:8080\""),
                broken(Rule.ADDRESS, "operators", QUOTA, QUOTA + "\noperators = \"localhost:9090\""),
                broken(Rule.LIMITS, "logs.queue", QUOTA, QUOTA + "\nlogs {\n  queue = 1\n}"),
                broken(Rule.SHAPE, "logs.form", QUOTA, QUOTA + "\nlogs {\n  form = \"xml\"\n}"),
                broken(Rule.SHAPE, "health.often", QUOTA, QUOTA + health("often = true")));
    }

    private static String changed(List<String> changes) {
        String text = sound();
        for (int i = 0; i < changes.size(); i += 2) {
            assertTrue(text.contains(changes.get(i)), "nothing to change: " + changes.get(i));
            text = text.replace(changes.get(i), changes.get(i + 1));
        }
        return text;
    }

    @ParameterizedTest
    @MethodSource("all")
    void eachIsCaughtByItsRule(Rule rule, String field, List<String> changes) {
        AppParser.Result reading = AppParser.parse(changed(changes));
        assertTrue(
                reading.findings().stream()
                        .anyMatch(f -> f.rule() == rule && f.format().contains(field)),
                () -> "found "
                        + reading.findings().stream().map(Finding::format).toList());
        if (rule != Rule.SHAPE && rule != Rule.SECRET) {
            Set<Rule> found = EnumSet.noneOf(Rule.class);
            reading.findings().forEach(f -> found.add(f.rule()));
            // A pool without a ready server has one that drains, or none.
            found.remove(rule == Rule.EMPTY ? Rule.DRAINED : Rule.EMPTY);
            assertEquals(EnumSet.of(rule), found, () -> reading.findings().toString());
        }
        if (reading.app() != null && reading.findings().stream().noneMatch(f -> f.rule() == Rule.SHAPE)) {
            assertThrows(IllegalArgumentException.class, () -> ConfigWriter.toJson(reading.app(), "1"));
        }
    }

    @Test
    void theSoundOneIsSoundAndEachRuleHasABrokenOne() {
        assertEquals(List.of(), AppParser.parse(sound()).findings());
        assertEquals(
                List.of(),
                AppParser.parse("\uFEFF" + sound().replace("\n", "\r\n")).findings());
        assertTrue(all().count() >= 120, "broken ones: " + all().count());
        Set<Rule> caught = new HashSet<>();
        all().forEach(broken -> caught.add((Rule) broken.get()[0]));
        // Several pools are told before it is asked which of them a class has.
        caught.add(Rule.UNSERVED);
        assertEquals(Set.of(Rule.values()), caught);
        AppParser.Result pools = AppParser.parse(
                changed(List.of("quota = 300", pool("\"web-1\"") + "\npool \"b\" {\n  servers = [\"web-2\"]\n}")));
        assertTrue(pools.findings().stream().anyMatch(f -> f.rule() == Rule.UNSERVED));
        assertTrue(pools.findings().stream().anyMatch(f -> f.rule() == Rule.NOT_YET));
    }

    @Test
    void whatIsWrittenIsTheSameEachTimeAndLeavesOutWhatIsNotServed() {
        AppParser.Result reading = AppParser.parse(sound());
        String json = ConfigWriter.toJson(reading.app(), "7f");
        assertEquals(json, ConfigWriter.toJson(AppParser.parse(sound()).app(), "7f"));
        assertTrue(json.contains("\"state\" : \"Terminating\""), json);
        String gone = ConfigWriter.toJson(
                AppParser.parse(changed(List.of("\"draining\"", "\"gone\""))).app(), "7f");
        assertFalse(gone.contains("web-3"), gone);
        String pool = ConfigWriter.toJson(
                AppParser.parse(changed(List.of("quota = 300", pool("\"web-2\""))))
                        .app(),
                "7f");
        assertTrue(pool.contains("web-2") && !pool.contains("web-1"), pool);
    }
}
