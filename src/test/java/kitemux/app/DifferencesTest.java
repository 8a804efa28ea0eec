package kitemux.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class DifferencesTest {

    private static String text() throws IOException {
        return Files.readString(Path.of("examples", "app", "ordering-desk.hcl"));
    }

    private static List<String> to(String next) throws IOException {
        return Differences.between(
                AppParser.parse(text()).app(), AppParser.parse(next).app());
    }

    @Test
    void whatMeansTheSameHasNoDifference() throws IOException {
        assertEquals(List.of(), to("# another word\n" + text()));
    }

    @Test
    void whoseTrafficChangesIsSaidInWords() throws IOException {
        assertEquals(
                List.of(
                        "class view-page: in time within 150.0 ms, before 100.0 ms",
                        "server web-2 is draining, before ready: it gets nothing new and finishes what it has",
                        "server web-4 is new",
                        "server web-3 is described no more",
                        "tenant school-b: 0.3 of the quota, before 0.4"),
                to(text().replace("aim      = \"100ms\"", "aim = \"150ms\"")
                        .replace("share = 0.4", "share = 0.3")
                        .replace("rack    = 1", "rack = 1\n  state = \"draining\"")
                        .replace("web-3", "web-4")));
    }

    @Test
    void workThatMayRunAgainFromNowOnIsSaidAloud() throws IOException {
        assertEquals(
                List.of(
                        "never twice, whatever else is said: [], before [place-order]",
                        "class place-order is safe, before never-twice: it MAY BE SENT AGAIN after a failure from"
                                + " now on"),
                to(text().replace("[\"place-order\"]", "[]")
                        .replace("again    = \"never-twice\"", "again = \"safe\"")));
    }
}
