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
    private static final String QUOTA = "quota = 300";
    private static final String WEB_2 = "server \"web-2\" {\n  address = \"127.0.0.1:9002\"\n  rack    " + "= 1\n}\n";

    private static String example() {
        try {
            return Files.readString(Path.of("examples", "app", "ordering-desk.hcl"));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String more(String lines) {
        return QUOTA + "\n" + lines;
    }

    /** What it is for, and what takes the place of what in the example. */
    private static Arguments sound(String what, String... changes) {
        return Arguments.of(what, List.of(changes));
    }

    static Stream<Arguments> all() {
        return Stream.of(
                sound("as it stands"),
                sound("one server alone", WEB_2, ""),
                sound(
                        "all classes safe but the orders",
                        "again    = \"keyed\"\n  group    = \"rack\"\n  window   = \"1200ms\"",
                        "again    = \"safe\""),
                sound(
                        "photos never twice as well",
                        "again    = \"keyed\"\n  group    = \"rack\"\n  window   = \"1200ms\"",
                        "again    = \"never-twice\"",
                        "[\"place-order\"]",
                        "[\"place-order\", \"add-photo\"]"),
                sound(
                        "a key that all servers know",
                        "group    = \"rack\"",
                        "group    = \"all\"",
                        "shared = \"rack\"",
                        "shared = \"all\""),
                sound("a key that all know, used in a rack", "shared = \"rack\"", "shared = \"all\""),
                sound("a window as long as keys are kept", "\"1200ms\"", "\"1500ms\""),
                sound("a window far shorter", "\"1200ms\"", "\"50ms\""),
                sound(
                        "no keys where nothing is keyed",
                        "again    = \"keyed\"\n  group    = \"rack\"\n  window   = \"1200ms\"",
                        "again    = \"safe\"",
                        "keys {\n  kept   = \"1500ms\"\n  shared = \"rack\"\n}",
                        ""),
                sound(
                        "one attempt of an order said outright",
                        "again    = \"never-twice\"",
                        "again    = \"never-twice\"\n  attempts = 1"),
                sound("one attempt of everything", "attempts      = 4", "attempts      = 1"),
                sound("most attempts", "attempts      = 4", "attempts      = 16"),
                sound("no second copies", "second_copies = true", "second_copies = false"),
                sound(
                        "second copies named where they are on",
                        "again    = \"safe\"",
                        "again    = \"safe\"\n  second_copies = true"),
                sound("an aim that is the deadline", "aim      = \"300ms\"", "aim      = \"1s\""),
                sound("late answers worth half", "deadline = \"1s\"", "deadline = \"1s\"\n  late_worth = 0.5"),
                sound(
                        "a journal of orders",
                        QUOTA,
                        more("journaled = true\norders {\n  folder = \"/var/lib/desk\"\n}")),
                sound("a journal that nobody asked for", QUOTA, more("orders {\n  folder = \"/var/lib/desk\"\n}")),
                sound("all servers of one pool", QUOTA, more("pool \"all\" {\n  servers = [\"web-1\", \"web-2\"]\n}")),
                sound(
                        "a pool that classes name",
                        QUOTA,
                        more("pool \"all\" {\n  servers = [\"web-2\"]\n}"),
                        "again    = \"safe\"",
                        "again    = \"safe\"\n  pool = \"all\""),
                sound("a server that has gone", "\"draining\"", "\"gone\""),
                sound("all ready", "\"draining\"", "\"ready\""),
                sound("the platform's list, and servers to begin with", QUOTA, more("discovery = \"10.1.0.9:8500\"")),
                sound("any network", "networks    = [\"127.0.0.0/8\", \"10.1.0.0/16\"]\n", ""),
                sound(
                        "no tenants and no quota",
                        QUOTA + "\n",
                        "",
                        "tenant \"school-a\" {\n  share = 0.6\n}\n",
                        "",
                        "tenant \"school-b\" {\n  share = 0.4\n}\n",
                        ""),
                sound("shares that leave some to others", "share = 0.4", "share = 0.1"),
                sound("a fraction of a request a second", QUOTA, "quota = 0.5"),
                sound("no word on cold servers", "rules {\n  cold_from = 0.2\n  cold      = \"18s\"\n}\n", ""),
                sound(
                        "least sockets and memory",
                        "sockets       = 1024",
                        "sockets       = 64",
                        "memory_mib    = 128",
                        "memory_mib    = 64"),
                sound(
                        "many sockets and the memory for them",
                        "sockets       = 1024",
                        "sockets       = 65535",
                        "memory_mib    = 128",
                        "memory_mib    = 8192"),
                sound("checks as they come", QUOTA, more("health {\n}")),
                sound(
                        "checks that are quick and strict",
                        QUOTA,
                        more("health {\n  path = \"/ready?deep=1\"\n"
                                + "  every = \"200ms\"\n  timeout = \"200ms\"\n  fall = 1\n  rise = 1\n  "
                                + "most_out = 0.9\n}")),
                sound("checks that take none out", QUOTA, more("health {\n  most_out = 0\n}")),
                sound("state for the next process", QUOTA, more("members {\n  state = \"/var/lib/desk\"\n}")),
                sound("operators' calls", QUOTA, more("operators = \"127.0.0.1:9090\"")),
                sound("lines as JSON", QUOTA, more("logs {\n  form = \"json\"\n  queue = 100000\n}")),
                sound(
                        "no advice on when to come back",
                        "connect       = \"100ms\"",
                        "connect       = \"100ms\"\n  retry_after = \"0s\""),
                sound(
                        "nothing new from the moment of the word",
                        "cold_from = 0.2",
                        "drain = \"0ms\"\n  cold_from = 0.2"),
                sound(
                        "a comment that looks like a field",
                        "# The ordering desk",
                        "# again = \"safe\" {{{ The ordering desk"),
                sound(
                        "times in other units",
                        "deadline = \"1s\"",
                        "deadline = \"1000000us\"",
                        "\"500ms\"",
                        "\"0.5s\""));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("all")
    void nothingIsFound(String what, List<String> changes) {
        String text = example();
        for (int i = 0; i < changes.size(); i += 2) {
            assertTrue(text.contains(changes.get(i)), "nothing to change: " + changes.get(i));
            text = text.replace(changes.get(i), changes.get(i + 1));
        }
        AppParser.Result reading = AppParser.parse(text);
        assertEquals(List.of(), reading.findings().stream().map(Finding::format).toList());
        assertEquals(
                ConfigWriter.toJson(reading.app(), "1"),
                ConfigWriter.toJson(AppParser.parse(text).app(), "1"));
    }

    /** Servers from a list or a file, without one that is described. */
    @Test
    void serversMayComeFromElsewhereAltogether() {
        for (String source : List.of("list = \"http://10.1.0.9:8500/servers\"", "file = \"servers.json\"")) {
            AppParser.Result reading = AppParser.parse("name = \"a\"\nlisten = \"127.0.0.1:80\"\nmembers {\n  "
                    + source
                    + "\n}\nclass \"c\" {\n  again = \"safe\"\n  aim = \"1s\"\n  deadline = \"2s\"\n}\n");
            assertEquals(List.of(), reading.findings());
        }
        assertTrue(all().count() >= 40, "sound ones: " + all().count());
    }
}
