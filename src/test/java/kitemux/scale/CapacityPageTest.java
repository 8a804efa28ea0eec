package kitemux.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a page of measured figures is held to. */
class CapacityPageTest {
    private static final String PAGE = """
            # A page

            A change costs <!--scale:list.4800.change_ms-->6.80<!--/--> ms.

            <!-- scale:list -->
            <!-- /scale:list -->

            And the lines through it:

            <!-- scale:fit -->
            <!-- /scale:fit -->
            """;

    @TempDir
    private Path folder;

    @BeforeEach
    void keep() throws IOException {
        Results list = Results.of("list");
        list.facts().put("commit", "abc");
        list.facts().put("full_servers", "4800");
        list.facts().put(Results.LATE, "false");
        list.put("60", "change_ms", 2.06);
        list.put("600", "change_ms", 2.6);
        list.put("4800", "change_ms", 6.8);
        list.keep(folder);
    }

    private String filled() throws IOException {
        return CapacityPage.filled(PAGE, folder);
    }

    private void hasFault(String page, String fault) throws IOException {
        List<String> faults = CapacityPage.faults(page, folder);
        assertEquals(1, faults.size(), faults.toString());
        assertTrue(faults.get(0).contains(fault), faults.toString());
    }

    private static String changed(String page, String from, String to) {
        assertTrue(page.contains(from), page);
        return page.replace(from, to);
    }

    @Test
    void aPageThatWasMadeFromResultsHasNoFault() throws IOException {
        String page = filled();
        assertEquals(List.of(), CapacityPage.faults(page, folder));
        assertTrue(page.contains("| 4,800 | - | 6.80 | -"), page);
        assertTrue(page.contains("| a change, loop, ms | 60, 600, 4,800 | 1.00 | 2.00 | "), page);
        assertEquals(page, CapacityPage.filled(page, folder), "made twice it is the same");
    }

    @Test
    void aChangedDigitIsFoundWhereverItStands() throws IOException {
        String page = filled();
        hasFault(
                changed(page, "| 4,800 | - | 6.80", "| 4,800 | - | 6.81"),
                "line 5: <!-- scale:list -->: is not what the results make: \"| 4,800 | - | 6.81");
        hasFault(changed(page, "60, 600, 4,800 | 1.00", "60, 600, 4,800 | 1.01"), "<!-- scale:fit -->: is not");
        hasFault(
                changed(page, "-->6.80<!--/-->", "-->6.8<!--/-->"),
                "line 3: <!--scale:list.4800.change_ms-->: is not what the results make: \"6.8\", not " + "\"6.80\"");
        hasFault(changed(page, "commit abc", "commit abd"), "<!-- scale:list -->");
    }

    @Test
    void marksThatNameNothingAreFound() throws IOException {
        String page = filled();
        hasFault(page + "<!-- scale:nodes -->\n<!-- /scale:nodes -->\n", "there are no results for it");
        hasFault(page + "<!-- scale:none -->\n<!-- /scale:none -->\n", "there are no results for it");
        hasFault(page + "<!--scale:list.4800.no_such-->1<!--/-->\n", "there are no results for it");
        hasFault(page + "<!--scale:list.61.change_ms-->1<!--/-->\n", "there are no results for it");
    }

    @Test
    void marksThatAreNotWholeAreFound() throws IOException {
        String page = filled();
        hasFault(page + "<!-- scale:p99 -->\n", "a mark of a table has no other");
        hasFault(page + "| <!-- /scale:p99 --> |\n", "a mark of a table has no other");
        hasFault(page + "<!--scale:list.60.change_ms-->2.06\n", "a mark of a figure has no other");
        hasFault(page + "<!--scale:list.60-->2.06<!--/-->\n", "a mark of a figure has no other");
    }

    @Test
    void aTableThatNoMarkNamesIsFound() throws IOException {
        hasFault(changed(filled(), "scale:fit -->", "scale-fit -->"), "the table fit has results");
        String page = filled();
        hasFault(page + page.substring(page.indexOf("<!-- scale:fit")), "the table fit is there twice");
    }

    @Test
    void aRunThatWasLateSaysSoBelowItsTable() throws IOException {
        Results list = Results.read(folder, "list");
        list.facts().put(Results.LATE, "true");
        list.keep(folder);
        String table = Tables.markdown("list", folder);
        assertTrue(table.endsWith("The run itself was late: its figures say little.\n"), table);
    }

    /** The page of this repository, recomputed from the results that it keeps. */
    @Test
    void thePageSaysWhatTheKeptResultsSay() throws IOException {
        assertEquals(
                List.of(),
                CapacityPage.faults(Files.readString(Path.of("docs", "CAPACITY.md")), Path.of("docs", "capacity")));
    }
}
