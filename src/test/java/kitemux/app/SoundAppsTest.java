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

/** Checks that valid descriptions have no findings. */
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

    /** A scenario, and the changes to the example as pairs of an old and a new text. */
    private static Arguments valid(String scenario, String... changes) {
        return Arguments.of(scenario, List.of(changes));
    }

    static Stream<Arguments> validDescriptions() {
        return Stream.of(
                valid("unchanged example"),
                valid("a single server", SERVER_WEB_2, ""),
                valid(
                        "all classes safe except the orders",
                        "again    = \"keyed\"\n  group    = \"rack\"\n  window   = \"1200ms\"",
                        "again    = \"safe\""),
                valid(
                        "photos never twice too",
                        "again    = \"keyed\"\n  group    = \"rack\"\n  window   = \"1200ms\"",
                        "again    = \"never-twice\"",
                        "[\"place-order\"]",
                        "[\"place-order\", \"add-photo\"]"),
                valid(
                        "keys shared by all servers",
                        "group    = \"rack\"",
                        "group    = \"all\"",
                        "shared = \"rack\"",
                        "shared = \"all\""),
                valid("keys shared by all servers but used within a rack", "shared = \"rack\"", "shared = \"all\""),
                valid("window as long as keys are kept", "\"1200ms\"", "\"1500ms\""),
                valid("much shorter window", "\"1200ms\"", "\"50ms\""),
                valid(
                        "no keys block without keyed classes",
                        "again    = \"keyed\"\n  group    = \"rack\"\n  window   = \"1200ms\"",
                        "again    = \"safe\"",
                        "keys {\n  kept   = \"1500ms\"\n  shared = \"rack\"\n}",
                        ""),
                valid(
                        "one attempt for orders set explicitly",
                        "again    = \"never-twice\"",
                        "again    = \"never-twice\"\n  attempts = 1"),
                valid("one attempt for all requests", "attempts      = 4", "attempts      = 1"),
                valid("maximum number of attempts", "attempts      = 4", "attempts      = 16"),
                valid("no second copies", "second_copies = true", "second_copies = false"),
                valid(
                        "second copies also allowed in a class",
                        "again    = \"safe\"",
                        "again    = \"safe\"\n  second_copies = true"),
                valid("aim equal to the deadline", "aim      = \"300ms\"", "aim      = \"1s\""),
                valid("late answers worth half", "deadline = \"1s\"", "deadline = \"1s\"\n  late_worth = 0.5"),
                valid(
                        "required order journal",
                        QUOTA_LINE,
                        afterQuota("journaled = true\norders {\n  folder = \"/var/lib/desk\"\n}")),
                valid(
                        "order journal that is not required",
                        QUOTA_LINE,
                        afterQuota("orders {\n  folder = \"/var/lib/desk\"\n}")),
                valid(
                        "one pool with all ready servers",
                        QUOTA_LINE,
                        afterQuota("pool \"all\" {\n  servers = [\"web-1\", \"web-2\"]\n}")),
                valid(
                        "pool named by a class",
                        QUOTA_LINE,
                        afterQuota("pool \"all\" {\n  servers = [\"web-2\"]\n}"),
                        "again    = \"safe\"",
                        "again    = \"safe\"\n  pool = \"all\""),
                valid("gone server", "\"draining\"", "\"gone\""),
                valid("all servers ready", "\"draining\"", "\"ready\""),
                valid("discovery and initial servers", QUOTA_LINE, afterQuota("discovery = \"10.1.0.9:8500\"")),
                valid("no restriction of networks", "networks    = [\"127.0.0.0/8\", \"10.1.0.0/16\"]\n", ""),
                valid(
                        "no tenants and no quota",
                        QUOTA_LINE + "\n",
                        "",
                        "tenant \"school-a\" {\n  share = 0.6\n}\n",
                        "",
                        "tenant \"school-b\" {\n  share = 0.4\n}\n",
                        ""),
                valid("shares with a sum below 1", "share = 0.4", "share = 0.1"),
                valid("quota below one request per second", QUOTA_LINE, "quota = 0.5"),
                valid("no rules for cold servers", "rules {\n  cold_from = 0.2\n  cold      = \"18s\"\n}\n", ""),
                valid(
                        "minimum sockets and memory",
                        "sockets       = 1024",
                        "sockets       = 64",
                        "memory_mib    = 128",
                        "memory_mib    = 64"),
                valid(
                        "many sockets with enough memory",
                        "sockets       = 1024",
                        "sockets       = 65535",
                        "memory_mib    = 128",
                        "memory_mib    = 8192"),
                valid("default health checks", QUOTA_LINE, afterQuota("health {\n}")),
                valid(
                        "frequent and strict health checks",
                        QUOTA_LINE,
                        afterQuota("health {\n  path = \"/ready?deep=1\"\n"
                                + "  every = \"200ms\"\n  timeout = \"200ms\"\n  fall = 1\n  rise = 1\n  "
                                + "most_out = 0.9\n}")),
                valid("health checks without ejection", QUOTA_LINE, afterQuota("health {\n  most_out = 0\n}")),
                valid("state folder", QUOTA_LINE, afterQuota("members {\n  state = \"/var/lib/desk\"\n}")),
                valid("operators' address", QUOTA_LINE, afterQuota("operators = \"127.0.0.1:9090\"")),
                valid("log lines as JSON", QUOTA_LINE, afterQuota("logs {\n  form = \"json\"\n  queue = 100000\n}")),
                valid(
                        "no advised retry delay",
                        "connect       = \"100ms\"",
                        "connect       = \"100ms\"\n  retry_after = \"0s\""),
                valid("no grace period for drains", "cold_from = 0.2", "drain = \"0ms\"\n  cold_from = 0.2"),
                valid(
                        "comment that looks like a field",
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
            assertTrue(text.contains(changes.get(i)), "text to replace not found: " + changes.get(i));
            text = text.replace(changes.get(i), changes.get(i + 1));
        }
        AppParser.Result result = AppParser.parse(text);
        assertEquals(List.of(), result.findings().stream().map(Finding::format).toList());
        assertEquals(
                ConfigWriter.toJson(result.app(), "1"),
                ConfigWriter.toJson(AppParser.parse(text).app(), "1"));
    }

    /** Servers may come only from a list or a file, without any server in the description. */
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
                "number of valid descriptions: " + validDescriptions().count());
    }
}
