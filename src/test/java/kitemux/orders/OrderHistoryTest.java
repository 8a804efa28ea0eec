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

/** Tests the state of an order history, its texts, and the settings of the journal. */
class OrderHistoryTest {
    private static OrderHistory history(Entry... entries) {
        OrderHistory history = new OrderHistory(JournalTest.accepted(1, "o1"));
        for (Entry entry : entries) {
            history.add(entry);
        }
        return history;
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
    void unsentOrderHasStateNeverSent() {
        assertEquals(State.NEVER_SENT, history(new LeftOpen(1, 40)).state(false));
        assertEquals(State.NEVER_SENT, history().state(false));
        assertEquals(State.UNDER_WAY, history().state(true));
        assertEquals(
                State.NEVER_SENT,
                history(intent(0), ended(0, Result.CONNECT_FAILED, false), answered(Answer.FAILED))
                        .state(false));
    }

    @Test
    void refusedOrderHasStateRefused() {
        assertEquals(State.REFUSED, history(answered(Answer.REFUSED)).state(false));
        assertEquals(
                State.REFUSED,
                history(intent(0), ended(0, Result.MOOT, false), answered(Answer.REFUSED))
                        .state(false));
    }

    @Test
    void orderThatMayHaveRunIsUnknownWithoutAServersAnswer() {
        assertEquals(State.UNKNOWN, history(intent(0), new LeftOpen(1, 40)).state(true));
        assertEquals(
                State.UNKNOWN,
                history(intent(0), ended(0, Result.TIMEOUT, true), answered(Answer.FAILED))
                        .state(true));
        assertEquals(State.UNKNOWN, history(intent(0)).state(false));
        assertEquals(State.UNDER_WAY, history(intent(0)).state(true));
        assertEquals(
                State.ANSWERED, history(intent(0), ended(0, Result.OK, true)).state(false));
        assertEquals(
                State.ANSWERED,
                history(intent(0), ended(0, Result.ERROR, true), answered(Answer.FAILED))
                        .state(false));
    }

    @Test
    void servedAttemptIsDecisive() {
        OrderHistory history = history(intent(0), ended(0, Result.RESET, true), intent(1), ended(1, Result.OK, true));
        assertEquals("web-1", history.decisiveAttempt().intent().server());
        OrderHistory uncertain = history(intent(0), ended(0, Result.FULL, false), intent(1));
        assertEquals("web-1", uncertain.decisiveAttempt().intent().server());
    }

    @Test
    void historyIsCompleteOnceAnsweredWithoutPendingAttemptsOrLeftOpen() {
        assertTrue(!history(intent(0), answered(Answer.SERVED)).isComplete());
        assertTrue(history(intent(0), ended(0, Result.OK, true), answered(Answer.SERVED))
                .isComplete());
        assertTrue(history(intent(0), new LeftOpen(1, 40)).isComplete());
    }

    @Test
    void sentenceNamesOrderServerAndTimes() {
        assertEquals(
                "order o1 (place-order, school, cart-1), taken 1970-01-01T00:00:00.000005Z: sent to "
                        + "web-0 (127.0.0.1:80) at 1970-01-01T00:00:00.000010Z, answered 200 at "
                        + "1970-01-01T00:00:00.000020Z; the client was served at 1970-01-01T00:00:00.000030Z",
                OrderHistoryText.toSentence(
                        history(intent(0), ended(0, Result.OK, true), answered(Answer.SERVED)), false));
        assertTrue(OrderHistoryText.toSentence(history(intent(0), new LeftOpen(1, 40)), false)
                .endsWith("Z, answer unknown"));
        assertTrue(OrderHistoryText.toSentence(history(), false).endsWith(": never sent"));
    }

    @Test
    void jsonAndCsvAgree() throws Exception {
        OrderHistory history = history(intent(0), ended(0, Result.TIMEOUT, true), answered(Answer.FAILED));
        Json json = Json.read(OrderHistoryText.toJson(history, false).getBytes(UTF_8));
        assertEquals("unknown", json.path("state").asText());
        assertEquals(
                "web-0", json.path("attempts").values().get(0).path("server").asText());
        String csv = OrderHistoryText.toCsv(history, false);
        assertEquals(OrderHistoryText.CSV_HEADER.split(",").length, csv.split(",", -1).length);
        assertTrue(csv.contains(",unknown,web-0,127.0.0.1:80,"), csv);
    }

    @Test
    void clientTextCannotInjectFormulasOrColumns() {
        OrderHistory history = new OrderHistory(JournalTest.accepted(1, "=1+1,\"x\""));
        assertTrue(OrderHistoryText.toCsv(history, false).startsWith("\"'=1+1,\"\"x\"\"\",place-order,"));
    }

    @Test
    void everyInvalidSettingIsReportedInALine() throws Exception {
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
        OrderSettings settings =
                OrderSettings.read(Json.read("{\"folder\":\"/x\"}".getBytes(UTF_8)), List.of(), faults);
        assertEquals(List.of(), faults);
        assertEquals(JournalWriter.SyncPolicy.EACH, settings.sync());
        assertEquals(4 << 20, settings.segmentBytes());
    }
}
