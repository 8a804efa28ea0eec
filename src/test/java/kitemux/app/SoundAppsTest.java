package kitemux.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Descriptions as careful owners write them: nothing is found in any. */
class SoundAppsTest {
    private static final String QUOTA_LINE = "quota = 300";
    private static final String SERVER_WEB_2 =
            "server \"web-2\" {\n  address = \"127.0.0.1:9002\"\n  rack    " + "= 1\n}\n";

    private static String exampleDescription() {
        try {
            return Files.readString(Path.of("examples", "app", "ordering-desk.hcl"));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String afterQuota(String lines) {
        return QUOTA_LINE + "\n" + lines;
    }

    /** What it is for, and what takes the place of what in the example. */
    private static Arguments valid(String scenario, String... changes) {
        return Arguments.of(scenario, List.of(changes));
    }

    static Stream<Arguments> validDescriptions() {
        return Stream.of(
                valid("as it stands"),
                valid("one server alone", SERVER_WEB_2, ""),
                valid(
                        "all classes safe but the orders",
                        "again    = \"keyed\"\n  group    = \"rack\"\n  window   = \"1200ms\"",
                        "again    = \"safe\""),
                valid(
                        "photos never twice as well",
                        "again    = \"keyed\"\n  group    = \"rack\"\n  window   = \"1200ms\"",
                        "again    = \"never-twice\"",
                        "[\"place-order\"]",
                        "[\"place-order\", \"add-photo\"]"),
                valid(
                        "a key that all servers know",
                        "group    = \"rack\"",
                        "group    = \"all\"",
                        "shared = \"rack\"",
                        "shared = \"all\""),
                valid("a key that all know, used in a rack", "shared = \"rack\"", "shared = \"all\""),
                valid("a window as long as keys are kept", "\"1200ms\"", "\"1500ms\""),
                valid("a window far shorter", "\"1200ms\"", "\"50ms\""),
                valid(
                        "no keys where nothing is keyed",
                        "again    = \"keyed\"\n  group    = \"rack\"\n  window   = \"1200ms\"",
                        "again    = \"safe\"",
                        "keys {\n  kept   = \"1500ms\"\n  shared = \"rack\"\n}",
                        ""),
                valid(
                        "one attempt of an order said outright",
                        "again    = \"never-twice\"",
                        "again    = \"never-twice\"\n  attempts = 1"),
                valid("one attempt of everything", "attempts      = 4", "attempts      = 1"),
                valid("most attempts", "attempts      = 4", "attempts      = 16"),
                valid("no second copies", "second_copies = true", "second_copies = false"),
                valid(
                        "second copies named where they are on",
                        "again    = \"safe\"",
                        "again    = \"safe\"\n  second_copies = true"),
                valid("an aim that is the deadline", "aim      = \"300ms\"", "aim      = \"1s\""),
                valid("late answers worth half", "deadline = \"1s\"", "deadline = \"1s\"\n  late_worth = 0.5"),
                valid(
                        "a journal of orders",
                        QUOTA_LINE,
                        afterQuota("journaled = true\norders {\n  folder = \"/var/lib/desk\"\n}")),
                valid(
                        "a journal that nobody asked for",
                        QUOTA_LINE,
                        afterQuota("orders {\n  folder = \"/var/lib/desk\"\n}")),
                valid(
                        "all servers of one pool",
                        QUOTA_LINE,
                        afterQuota("pool \"all\" {\n  servers = [\"web-1\", \"web-2\"]\n}")),
                valid(
                        "a pool that classes name",
                        QUOTA_LINE,
                        afterQuota("pool \"all\" {\n  servers = [\"web-2\"]\n}"),
                        "again    = \"safe\"",
                        "again    = \"safe\"\n  pool = \"all\""),
                valid("a server that has gone", "\"draining\"", "\"gone\""),
                valid("all ready", "\"draining\"", "\"ready\""),
                valid(
                        "the platform's list, and servers to begin with",
                        QUOTA_LINE,
                        afterQuota("discovery = \"10.1.0.9:8500\"")),
                valid("any network", "networks    = [\"127.0.0.0/8\", \"10.1.0.0/16\"]\n", ""),
                valid(
                        "no tenants and no quota",
                        QUOTA_LINE + "\n",
                        "",
                        "tenant \"school-a\" {\n  share = 0.6\n}\n",
                        "",
                        "tenant \"school-b\" {\n  share = 0.4\n}\n",
                        ""),
                valid("shares that leave some to others", "share = 0.4", "share = 0.1"),
                valid("a fraction of a request a second", QUOTA_LINE, "quota = 0.5"),
                valid("no word on cold servers", "rules {\n  cold_from = 0.2\n  cold      = \"18s\"\n}\n", ""),
                valid(
                        "least sockets and memory",
                        "sockets       = 1024",
                        "sockets       = 64",
                        "memory_mib    = 128",
                        "memory_mib    = 64"),
                valid(
                        "many sockets and the memory for them",
                        "sockets       = 1024",
                        "sockets       = 65535",
                        "memory_mib    = 128",
                        "memory_mib    = 8192"),
                valid("checks as they come", QUOTA_LINE, afterQuota("health {\n}")),
                valid(
                        "checks that are quick and strict",
                        QUOTA_LINE,
                        afterQuota("health {\n  path = \"/ready?deep=1\"\n"
                                + "  every = \"200ms\"\n  timeout = \"200ms\"\n  fall = 1\n  rise = 1\n  "
                                + "most_out = 0.9\n}")),
                valid("checks that take none out", QUOTA_LINE, afterQuota("health {\n  most_out = 0\n}")),
                valid(
                        "state for the next process",
                        QUOTA_LINE,
                        afterQuota("members {\n  state = \"/var/lib/desk\"\n}")),
                valid("operators' calls", QUOTA_LINE, afterQuota("operators = \"127.0.0.1:9090\"")),
                valid("lines as JSON", QUOTA_LINE, afterQuota("logs {\n  form = \"json\"\n  queue = 100000\n}")),
                valid(
                        "no advice on when to come back",
                        "connect       = \"100ms\"",
                        "connect       = \"100ms\"\n  retry_after = \"0s\""),
                valid(
                        "nothing new from the moment of the word",
                        "cold_from = 0.2",
                        "drain = \"0ms\"\n  cold_from = 0.2"),
                valid(
                        "a comment that looks like a field",
                        "# The ordering desk",
                        "# again = \"safe\" {{{ The ordering desk"),
                valid(
                        "times in other units",
                        "deadline = \"1s\"",
                        "deadline = \"1000000us\"",
                        "\"500ms\"",
                        "\"0.5s\""));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("validDescriptions")
    void validDescriptionHasNoFindings(String scenario, List<String> changes) {
        String text = exampleDescription();
        for (int i = 0; i < changes.size(); i += 2) {
            assertTrue(text.contains(changes.get(i)), "nothing to change: " + changes.get(i));
            text = text.replace(changes.get(i), changes.get(i + 1));
        }
        AppParser.Result result = AppParser.parse(text);
        assertEquals(List.of(), result.findings().stream().map(Finding::format).toList());
        assertEquals(
                ConfigWriter.toJson(result.app(), "1"),
                ConfigWriter.toJson(AppParser.parse(text).app(), "1"));
    }

    /** Servers from a list or a file, without one that is described. */
    @Test
    void serversMayComeFromAListOrFileOnly() {
        for (String source : List.of("list = \"http://10.1.0.9:8500/servers\"", "file = \"servers.json\"")) {
            AppParser.Result result = AppParser.parse("name = \"a\"\nlisten = \"127.0.0.1:80\"\nmembers {\n  "
                    + source
                    + "\n}\nclass \"c\" {\n  again = \"safe\"\n  aim = \"1s\"\n  deadline = \"2s\"\n}\n");
            assertEquals(List.of(), result.findings());
        }
        assertTrue(
                validDescriptions().count() >= 40,
                "sound ones: " + validDescriptions().count());
    }
}
