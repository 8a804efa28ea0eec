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

/** A description that changes under a process: half written, broken, gone, flapping, and sound. */
class WatchTest {
    private String text;
    private DescriptionWatcher watch;

    @BeforeEach
    void begin() throws IOException {
        text = Files.readString(Path.of("examples", "app", "ordering-desk.hcl"));
        watch = new DescriptionWatcher(AppParser.parse(text).app(), text);
    }

    /** Two looks at the same text: what the second leads to; the first leads to nothing. */
    private DescriptionWatcher.Decision settled(String next) {
        DescriptionWatcher.Decision first = watch.observe(next);
        assertNull(first.newApp());
        assertEquals(List.of(), first.messages());
        return watch.observe(next);
    }

    private void nothingMoreOf(String next) {
        DescriptionWatcher.Decision again = watch.observe(next);
        assertNull(again.newApp());
        assertEquals(List.of(), again.messages(), "it is told at each look");
    }

    @Test
    void aServerThatDrainsOneThatComesAndOneThatGoesAreFollowed() {
        String next = text.replace(
                        "rack    = 1\n}",
                        "rack    = 1\n  state   = \"draining\"\n}\n\nserver \"web-4\" {\n"
                                + "  address = \"127.0.0.1:9004\"\n}")
                .replace("server \"web-3\"", "server \"web-5\"");
        DescriptionWatcher.Decision taken = settled(next);
        assertTrue(taken.newApp().servers().stream().anyMatch(one -> one.name().equals("web-4")), taken.toString());
        assertEquals(
                List.of(
                        "server web-2 is draining, before ready: it gets nothing new and finishes what" + " it has",
                        "server web-4 is new",
                        "server web-5 is new",
                        "server web-3 is described no more"),
                taken.messages());
        nothingMoreOf(next);
    }

    @Test
    void whatIsHalfWrittenOrChangesAtEachLookIsNotRead() {
        for (int i = 0; i < 20; i++) {
            DescriptionWatcher.Decision flapping = watch.observe(text.substring(0, text.length() / 2 + i));
            assertNull(flapping.newApp());
            assertEquals(List.of(), flapping.messages());
        }
        assertNull(watch.observe(text).newApp());
        nothingMoreOf(text);
    }

    @Test
    void whatIsBrokenOrGoneIsToldOnceAndChangesNothing() {
        DescriptionWatcher.Decision broken = settled(text.replace("again    = \"never-twice\"", "again    = \"safe\""));
        assertNull(broken.newApp());
        assertTrue(broken.messages().get(0).contains("KX101"), broken.messages()::toString);
        assertEquals(
                "the description has changed and is not sound; what it said before holds",
                broken.messages().get(broken.messages().size() - 1));
        DescriptionWatcher.Decision gone = settled(null);
        assertNull(gone.newApp());
        assertEquals(List.of("the description cannot be read any more; what it said holds"), gone.messages());
        nothingMoreOf(null);
        // It comes back as it was, and then with a change.
        assertNull(settled(text).newApp());
        assertTrue(settled(text.replace("127.0.0.1:9002", "127.0.0.1:9012"))
                .newApp()
                .toString()
                .contains("9012"));
    }

    @Test
    void whatNeedsANewProcessHoldsBackAllOfAChange() {
        DescriptionWatcher.Decision both = settled(text.replace("deadline = \"1s\"", "deadline = \"2s\"")
                .replace("quota = 300", "quota = 400")
                .replace("127.0.0.1:9002", "127.0.0.1:9012"));
        assertNull(both.newApp());
        assertEquals(
                List.of("the description has changed in class, quota, which needs a new process; all of"
                        + " what it said before holds"),
                both.messages());
    }

    @Test
    void whatMeansTheSameChangesNothing() {
        DescriptionWatcher.Decision same = settled("# a word to the next reader\n" + text);
        assertNull(same.newApp());
        assertEquals(List.of("the description reads differently and means the same"), same.messages());
    }
}
