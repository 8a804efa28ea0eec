package kitemux.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import kitemux.orders.Entry.Answer;
import kitemux.orders.Entry.Answered;
import kitemux.orders.Entry.Ended;
import kitemux.orders.Entry.Intent;
import kitemux.orders.Entry.Result;
import kitemux.orders.TestJournals;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The questions that a desk asks, and the exit codes of the answers. */
class OrdersCommandTest {
    @TempDir
    private Path folder;

    private Path journal;
    private String said = "";

    @BeforeEach
    void write() throws Exception {
        journal = folder.resolve("orders");
        TestJournals.write(
                journal,
                TestJournals.accepted(1, "paid"),
                new Intent(1, 10, 0, "web-1", "127.0.0.1:80", 99),
                new Ended(1, 20, 0, Result.OK, true),
                new Answered(1, 30, Answer.SERVED),
                TestJournals.accepted(2, "lost"),
                new Intent(2, 10, 0, "web-2", "127.0.0.1:81", 99),
                TestJournals.accepted(3, "kept"));
    }

    private int run(String... arguments) {
        PrintStream before = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            return Main.execute(arguments);
        } finally {
            System.setOut(before);
            said = out.toString(StandardCharsets.UTF_8);
        }
    }

    @Test
    void eachAnswerHasItsExitCode() {
        assertEquals(0, run("orders", "ask", "--journal", journal.toString(), "--order", "paid"));
        assertTrue(said.contains("sent to web-1 (127.0.0.1:80)") && said.contains("answered 200"), said);
        assertEquals(3, run("orders", "ask", "--journal", journal.toString(), "--order", "lost"));
        assertTrue(said.contains("sent to web-2") && said.contains("answer unknown"), said);
        assertEquals(0, run("orders", "ask", "--journal", journal.toString(), "--key", "cart-3"));
        assertTrue(said.contains("never sent"), said);
        assertEquals(1, run("orders", "ask", "--journal", journal.toString(), "--order", "other"));
        assertTrue(said.contains("never taken"), said);
        assertEquals(3, run("orders", "ask", "--journal", journal.toString(), "--state", "UNKNOWN", "--json"));
        assertTrue(said.startsWith("{\"order\":\"lost\"") && said.lines().count() == 1, said);
    }

    @Test
    void whatALiveNodeStillHasIsUnderWay() throws Exception {
        try (AutoCloseable held = TestJournals.lock(journal)) {
            assertEquals(3, run("orders", "ask", "--journal", journal.toString(), "--order", "lost"));
            assertTrue(said.contains("under way, sent to web-2"), said + held);
        }
    }

    @Test
    void callsThatCannotBeUsedSaySo() {
        assertEquals(2, run("orders"));
        assertEquals(2, run("orders", "ask", "--journal", journal.toString()));
        assertEquals(2, run("orders", "ask", "--journal", folder.resolve("none").toString(), "--order", "x"));
        assertEquals(2, run("orders", "ask", "--journal", journal.toString(), "--since", "yesterday"));
        assertEquals(2, run("orders", "verify", folder.resolve("none").toString()));
    }

    @Test
    void everyByteIsChecked() throws Exception {
        assertEquals(0, run("orders", "verify", journal.toString()));
        assertTrue(said.contains("8 entries in 1 segments, 0 faults"), said);
        Path segment;
        try (var files = Files.list(journal)) {
            segment = files.filter(file -> file.toString().endsWith(".orders"))
                    .findFirst()
                    .orElseThrow();
        }
        byte[] bytes = Files.readAllBytes(segment);
        for (int i = 0; i < bytes.length; i++) {
            byte[] spoilt = bytes.clone();
            spoilt[i] ^= 1;
            Files.write(segment, spoilt);
            int code = run("orders", "verify", journal.toString());
            // The last entry alone may be one that is being written.
            assertTrue(code == 1 || said.contains("being written"), "byte " + i + ": " + said);
        }
    }

    @Test
    void anExportHoldsEachOrderOnce() {
        assertEquals(0, run("orders", "export", "--journal", journal.toString()));
        assertEquals(4, said.lines().count());
        assertTrue(said.lines().anyMatch(line -> line.startsWith("lost,place-order,school,cart-2,")), said);
        assertEquals(0, run("orders", "export", "--journal", journal.toString(), "--json"));
        assertEquals(3, said.lines().filter(line -> line.startsWith("{")).count());
    }

    @Test
    void aSecondTryUnderAnotherIdIsNamedAsWhatItCanBeKnownToBe() throws Exception {
        TestJournals.write(
                journal,
                TestJournals.acceptedWithKeys(9, "again", "cart-1", ""),
                TestJournals.acceptedWithKeys(10, "keyed", "cart-7", "k"),
                TestJournals.acceptedWithKeys(11, "rekeyed", "cart-8", "k"));
        run("orders", "ask", "--journal", journal.toString(), "--order", "paid");
        assertTrue(
                said.lines().anyMatch(line -> line.startsWith("perhaps the same") && line.contains("order again ")),
                said);
        run("orders", "ask", "--journal", journal.toString(), "--order", "keyed", "--json");
        assertTrue(
                said.lines().anyMatch(line -> line.startsWith("{\"kin\":\"same\",\"order\":" + "\"rekeyed\"")), said);
        run("orders", "ask", "--journal", journal.toString(), "--order", "kept");
        assertEquals(1, said.lines().count(), said);
    }
}
