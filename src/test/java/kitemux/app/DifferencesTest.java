package kitemux.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the lines that describe the differences between two descriptions. */
class DifferencesTest {

    private static String validDescription() throws IOException {
        return Files.readString(Path.of("examples", "app", "ordering-desk.hcl"));
    }

    private static List<String> differencesTo(String next) throws IOException {
        return Differences.between(
                AppParser.parse(validDescription()).app(), AppParser.parse(next).app());
    }

    @Test
    void equivalentDescriptionsHaveNoDifferences() throws IOException {
        assertEquals(List.of(), differencesTo("# another word\n" + validDescription()));
    }

    @Test
    void changedTrafficIsDescribedInWords() throws IOException {
        assertEquals(
                List.of(
                        "class view-page: in time within 150.0 ms, before 100.0 ms",
                        "server web-2 is draining, before ready: it receives no new requests and completes those in flight",
                        "server web-4 is new",
                        "server web-3 is no longer described",
                        "tenant school-b: 0.3 of the quota, before 0.4"),
                differencesTo(validDescription()
                        .replace("aim      = \"100ms\"", "aim = \"150ms\"")
                        .replace("share = 0.4", "share = 0.3")
                        .replace("rack    = 1", "rack = 1\n  state = \"draining\"")
                        .replace("web-3", "web-4")));
    }

    @Test
    void classThatBecomesRetryableIsHighlighted() throws IOException {
        assertEquals(
                List.of(
                        "classes that must never run twice: [], before [place-order]",
                        "class place-order is safe, before never-twice: requests MAY BE SENT AGAIN after a failure from"
                                + " now on"),
                differencesTo(validDescription()
                        .replace("[\"place-order\"]", "[]")
                        .replace("again    = \"never-twice\"", "again = \"safe\"")));
    }
}
