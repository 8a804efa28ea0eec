package kitemux.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks the reaction to changes of the description: incomplete, invalid, missing, flapping and valid texts. */
class WatchTest {
    private String text;
    private DescriptionWatcher watcher;

    @BeforeEach
    void createWatcher() throws IOException {
        text = Files.readString(Path.of("examples", "app", "ordering-desk.hcl"));
        watcher = new DescriptionWatcher(AppParser.parse(text).app(), text);
    }

    /** Observes a text twice and returns the second decision; the first must be empty. */
    private DescriptionWatcher.Decision observeTwice(String next) {
        DescriptionWatcher.Decision first = watcher.observe(next);
        assertNull(first.newApp());
        assertEquals(List.of(), first.messages());
        return watcher.observe(next);
    }

    private void assertNothingReported(String next) {
        DescriptionWatcher.Decision repeated = watcher.observe(next);
        assertNull(repeated.newApp());
        assertEquals(List.of(), repeated.messages(), "messages must not be repeated at every observation");
    }

    @Test
    void drainingAddedAndRemovedServersAreApplied() {
        String next = text.replace(
                        "rack    = 1\n}",
                        "rack    = 1\n  state   = \"draining\"\n}\n\nserver \"web-4\" {\n"
                                + "  address = \"127.0.0.1:9004\"\n}")
                .replace("server \"web-3\"", "server \"web-5\"");
        DescriptionWatcher.Decision accepted = observeTwice(next);
        assertTrue(
                accepted.newApp().servers().stream()
                        .anyMatch(server -> server.name().equals("web-4")),
                accepted.toString());
        assertEquals(
                List.of(
                        "server web-2 is draining, before ready: it receives no new requests and completes those in"
                                + " flight",
                        "server web-4 is new",
                        "server web-5 is new",
                        "server web-3 is no longer described"),
                accepted.messages());
        assertNothingReported(next);
    }

    @Test
    void textThatChangesAtEveryObservationIsNotParsed() {
        for (int i = 0; i < 20; i++) {
            DescriptionWatcher.Decision flapping = watcher.observe(text.substring(0, text.length() / 2 + i));
            assertNull(flapping.newApp());
            assertEquals(List.of(), flapping.messages());
        }
        assertNull(watcher.observe(text).newApp());
        assertNothingReported(text);
    }

    @Test
    void invalidOrMissingDescriptionIsReportedOnceAndChangesNothing() {
        DescriptionWatcher.Decision broken =
                observeTwice(text.replace("again    = \"never-twice\"", "again    = \"safe\""));
        assertNull(broken.newApp());
        assertTrue(broken.messages().get(0).contains("KX101"), broken.messages()::toString);
        assertEquals(
                "the changed description is invalid; what it said before holds",
                broken.messages().get(broken.messages().size() - 1));
        DescriptionWatcher.Decision gone = observeTwice(null);
        assertNull(gone.newApp());
        assertEquals(
                List.of("the description cannot be read any more; its last valid version remains in use"),
                gone.messages());
        assertNothingReported(null);
        // The text reappears unchanged, and then changes.
        assertNull(observeTwice(text).newApp());
        assertTrue(observeTwice(text.replace("127.0.0.1:9002", "127.0.0.1:9012"))
                .newApp()
                .toString()
                .contains("9012"));
    }

    @Test
    void changeThatRequiresARestartIsRejectedAsAWhole() {
        DescriptionWatcher.Decision both = observeTwice(text.replace("deadline = \"1s\"", "deadline = \"2s\"")
                .replace("quota = 300", "quota = 400")
                .replace("127.0.0.1:9002", "127.0.0.1:9012"));
        assertNull(both.newApp());
        assertEquals(
                List.of("the description has changed in class, quota, which requires a restart; no part of"
                        + " the change is applied"),
                both.messages());
    }

    @Test
    void equivalentDescriptionChangesNothing() {
        DescriptionWatcher.Decision same = observeTwice("# a word to the next reader\n" + text);
        assertNull(same.newApp());
        assertEquals(List.of("the description has changed only in form; there is nothing to apply"), same.messages());
    }
}
