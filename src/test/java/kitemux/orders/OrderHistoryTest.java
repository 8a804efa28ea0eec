package kitemux.orders;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import kitemux.config.Json;
import kitemux.orders.Entry.Answer;
import kitemux.orders.Entry.Answered;
import kitemux.orders.Entry.Ended;
import kitemux.orders.Entry.Intent;
import kitemux.orders.Entry.LeftOpen;
import kitemux.orders.Entry.Result;
import kitemux.orders.OrderHistory.State;
import org.junit.jupiter.api.Test;

/** What may be said of an order, and in which words. */
class OrderHistoryTest {
    private static OrderHistory story(Entry... entries) {
        OrderHistory story = new OrderHistory(JournalTest.accepted(1, "o1"));
        for (Entry entry : entries) {
            story.add(entry);
        }
        return story;
    }

    private static Intent intent(int attempt) {
        return new Intent(1, 10, attempt, "web-" + attempt, "127.0.0.1:80", 99);
    }

    private static Ended ended(int attempt, Result result, boolean mayHaveRun) {
        return new Ended(1, 20, attempt, result, mayHaveRun);
    }

    private static Answered answered(Answer answer) {
        return new Answered(1, 30, answer);
    }

    @Test
    void whatWasNeverSentIsSaidToBeSo() {
        assertEquals(State.NEVER_SENT, story(new LeftOpen(1, 40)).state(false));
        assertEquals(State.NEVER_SENT, story().state(false));
        assertEquals(State.UNDER_WAY, story().state(true));
        assertEquals(
                State.NEVER_SENT,
                story(intent(0), ended(0, Result.CONNECT_FAILED, false), answered(Answer.FAILED))
                        .state(false));
    }

    @Test
    void whatWasRefusedRanNowhere() {
        assertEquals(State.REFUSED, story(answered(Answer.REFUSED)).state(false));
        assertEquals(
                State.REFUSED,
                story(intent(0), ended(0, Result.MOOT, false), answered(Answer.REFUSED))
                        .state(false));
    }

    @Test
    void whatMayHaveRunIsUnknownUnlessAServerAnswered() {
        assertEquals(State.UNKNOWN, story(intent(0), new LeftOpen(1, 40)).state(true));
        assertEquals(
                State.UNKNOWN,
                story(intent(0), ended(0, Result.TIMEOUT, true), answered(Answer.FAILED))
                        .state(true));
        assertEquals(State.UNKNOWN, story(intent(0)).state(false));
        assertEquals(State.UNDER_WAY, story(intent(0)).state(true));
        assertEquals(State.ANSWERED, story(intent(0), ended(0, Result.OK, true)).state(false));
        assertEquals(
                State.ANSWERED,
                story(intent(0), ended(0, Result.ERROR, true), answered(Answer.FAILED))
                        .state(false));
    }

    @Test
    void theAttemptThatWasServedTellsMost() {
        OrderHistory story = story(intent(0), ended(0, Result.RESET, true), intent(1), ended(1, Result.OK, true));
        assertEquals("web-1", story.decisiveAttempt().intent().server());
        OrderHistory unsure = story(intent(0), ended(0, Result.FULL, false), intent(1));
        assertEquals("web-1", unsure.decisiveAttempt().intent().server());
    }

    @Test
    void itIsOverOnceAnsweredWithNothingOutOrLeftOpen() {
        assertTrue(!story(intent(0), answered(Answer.SERVED)).isComplete());
        assertTrue(story(intent(0), ended(0, Result.OK, true), answered(Answer.SERVED))
                .isComplete());
        assertTrue(story(intent(0), new LeftOpen(1, 40)).isComplete());
    }

    @Test
    void sentencesNameWhoWhereAndWhen() {
        assertEquals(
                "order o1 (place-order, school, cart-1), taken 1970-01-01T00:00:00.000005Z: sent to "
                        + "web-0 (127.0.0.1:80) at 1970-01-01T00:00:00.000010Z, answered 200 at "
                        + "1970-01-01T00:00:00.000020Z; the client was served at 1970-01-01T00:00:00.000030Z",
                OrderHistoryText.toSentence(story(intent(0), ended(0, Result.OK, true), answered(Answer.SERVED)), false));
        assertTrue(
                OrderHistoryText.toSentence(story(intent(0), new LeftOpen(1, 40)), false).endsWith("Z, answer unknown"));
        assertTrue(OrderHistoryText.toSentence(story(), false).endsWith(": never sent"));
    }

    @Test
    void linesOfJsonAndCsvSayTheSame() throws Exception {
        OrderHistory story = story(intent(0), ended(0, Result.TIMEOUT, true), answered(Answer.FAILED));
        Json json = Json.read(OrderHistoryText.toJson(story, false).getBytes(UTF_8));
        assertEquals("unknown", json.path("state").text());
        assertEquals(
                "web-0", json.path("attempts").values().get(0).path("server").text());
        String csv = OrderHistoryText.toCsv(story, false);
        assertEquals(OrderHistoryText.CSV_HEADER.split(",").length, csv.split(",", -1).length);
        assertTrue(csv.contains(",unknown,web-0,127.0.0.1:80,"), csv);
    }

    @Test
    void whatAClientChoseIsNoFormulaAndNoNewColumn() {
        OrderHistory story = new OrderHistory(JournalTest.accepted(1, "=1+1,\"x\""));
        assertTrue(OrderHistoryText.toCsv(story, false).startsWith("\"'=1+1,\"\"x\"\"\",place-order,"));
    }

    @Test
    void settingsSayEachFaultInALine() throws Exception {
        List<String> faults = new ArrayList<>();
        assertEquals(null, OrderSettings.read(Json.read("""
                {"sync":"often","lateMs":0,"segmentKiB":"x","color":1,"classes":["none"]}""".getBytes(UTF_8)), List.of(), faults));
        assertEquals(6, faults.size(), faults.toString());
        for (String field : List.of(
                "orders.folder",
                "orders.sync",
                "orders.lateMs",
                "orders.segmentKiB",
                "orders.color",
                "orders.classes")) {
            assertTrue(faults.stream().anyMatch(fault -> fault.startsWith(field + " ")), field);
        }
        faults.clear();
        OrderSettings read = OrderSettings.read(Json.read("{\"folder\":\"/x\"}".getBytes(UTF_8)), List.of(), faults);
        assertEquals(List.of(), faults);
        assertEquals(JournalWriter.SyncPolicy.EACH, read.sync());
        assertEquals(4 << 20, read.segmentBytes());
    }
}
