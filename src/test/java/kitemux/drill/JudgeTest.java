package kitemux.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What the judge makes of time-lines, each of which has one thing in it. Times are written in milliseconds.
 */
class JudgeTest {
    private static final String HEAD = """
            {"t":0,"e":"begin","nodes":2,"grace":500000,"repeatGrace":400000,"meanWork":20000,
             "boxes":[{"id":"a","rack":0,"cores":1,"speed":1.0,"coldFrom":0.5,"cold":4000000},
              {"id":"b","rack":1,"cores":1,"speed":1.0,"coldFrom":0.5,"cold":4000000},
              {"id":"c","rack":0,"cores":1,"speed":1.0,"coldFrom":0.5,"cold":4000000}],
             "classes":[{"name":"page","repeat":"SAFE","group":"ALL","aim":100000,"window":0,"worth":1.0},
              {"name":"photo","repeat":"KEYED","group":"CELL","aim":200000,"window":1200000,"worth":5.0},
              {"name":"order","repeat":"UNSAFE","group":"ALL","aim":300000,"window":0,"worth":5.0}],
             "phases":[{"name":"late","from":5000000,"to":9000000}],
             "bounds":{"attempts":3,"dials":2,"calls":2}}""".replace("\n", "");

    @TempDir
    Path folder;

    /** A line by its time in ms, its kind and pairs of a field and its value as JSON. */
    private static String event(long ms, String kind, String fields) {
        return "{\"t\":" + ms * 1_000 + ",\"e\":\"" + kind + "\""
                + (fields.isEmpty() ? "" : "," + fields.replace('\'', '"')) + "}";
    }

    private static String ask(long ms, int txn, int of) {
        return event(ms, "ask", "'txn':'" + txn + "','wish':" + txn + ",'class':" + of + ",'node':0,'left':500000")
                + "\n" + event(ms, "written", "'txn':'" + txn + "'");
    }

    private static String attempt(long ms, int txn, String box) {
        return event(ms, "try", "'box':'" + box + "','node':0,'txn':'" + txn + "','runs':true");
    }

    private static String full(long ms, int txn, String box) {
        return event(ms, "told", "'box':'" + box + "','txn':'" + txn + "','result':'FULL'");
    }

    private static String answer(long ms, int txn, int status) {
        return event(ms, "answer", "'txn':'" + txn + "','status':" + status + ",'after':0");
    }

    private static String fault(long ms, String kind, String what, String ways, String nodes) {
        return event(
                ms, kind, "'name':'f','what':'" + what + "','ways':[" + ways + "],'nodes':[" + nodes + "],'delay':0");
    }

    private Verdict judged(long lateUs, String... lines) throws IOException {
        List<String> all = new ArrayList<>(List.of(HEAD));
        Arrays.stream(lines).flatMap(String::lines).forEach(all::add);
        all.add("{\"t\":10000000,\"e\":\"end\",\"late\":" + lateUs + "}");
        return Judge.of(Files.write(folder.resolve("t.jsonl"), all));
    }

    private void assertBroken(String rule, String... lines) throws IOException {
        Verdict verdict = judged(0, lines);
        assertEquals(1, verdict.breaks(), verdict.broken().toString());
        assertTrue(verdict.broken().get(0).contains(rule), verdict.broken().toString());
    }

    private void assertKept(String... lines) throws IOException {
        Verdict verdict = judged(0, lines);
        assertEquals(List.of(), verdict.broken());
        assertTrue(verdict.isKept());
    }

    @Test
    void whatIsServedAndRefusedBreaksNothing() throws IOException {
        assertKept(ask(1, 1, 0), attempt(2, 1, "a"), answer(30, 1, 200), ask(40, 2, 2), answer(41, 2, 503));
    }

    @Test
    void aRequestWithoutAnAnswerIsLost() throws IOException {
        assertBroken("no request lost", ask(1, 1, 0), event(552, "left", "'txn':'1'"));
    }

    @ParameterizedTest
    @CsvSource({
        "kill, '', 0, false",
        "stop, '', 0, true",
        "cut, '\"clients>node-0\"', '', true",
        "cut, '\"clients>node-1\"', '', false",
        "stop, '', 1, false"
    })
    void whoHadNoAnswerOfANodeAtFaultIsNotLost(String what, String ways, String nodes, boolean excused)
            throws IOException {
        String[] lines = {
            fault(0, "fault", what, ways, nodes),
            ask(1, 1, 0),
            event(552, "left", "'txn':'1'"),
            fault(900, "mended", what, ways, nodes)
        };
        if (excused) {
            assertKept(lines);
        } else {
            assertBroken("no request lost", lines);
        }
    }

    @Test
    void whoAskedAProcessThatEndedIsNotLost() throws IOException {
        assertKept(ask(1, 1, 0), event(10, "down", "'node':0"), event(10, "broken", "'txn':'1','again':false"));
    }

    @Test
    void aNodeThatWasWellAgainLongAgoIsNoExcuse() throws IOException {
        assertBroken(
                "no request lost",
                fault(0, "fault", "stop", "", "0"),
                fault(100, "mended", "stop", "", "0"),
                ask(2_000, 1, 0),
                event(2_551, "left", "'txn':'1'"));
    }

    @Test
    void aConnectionThatEndsUnderARequestIsACrossingOnlyWhereItWasNotRead() throws IOException {
        assertKept(ask(1, 1, 0), event(3, "broken", "'txn':'1','again':true"));
        assertBroken(
                "after it was sent to a server",
                ask(1, 1, 0),
                attempt(2, 1, "a"),
                event(3, "broken", "'txn':'1','again':true"));
        assertBroken("ms after it was written", ask(1, 1, 0), event(90, "broken", "'txn':'1','again':true"));
        assertBroken("without an answer", ask(1, 1, 0), event(3, "broken", "'txn':'1','again':false"));
    }

    @Test
    void anOrderIsSentAgainOnlyWhereItWasTurnedAway() throws IOException {
        assertKept(ask(1, 1, 2), attempt(2, 1, "a"), full(3, 1, "a"), attempt(4, 1, "b"), answer(40, 1, 200));
        assertBroken("no effect twice", ask(1, 1, 2), attempt(2, 1, "a"), attempt(4, 1, "b"), answer(40, 1, 200));
    }

    @Test
    void anOrderThatMayHaveRunIsNotRefused() throws IOException {
        assertBroken("refused as harmless", ask(1, 1, 2), attempt(2, 1, "a"), answer(300, 1, 503));
        assertKept(ask(1, 1, 2), attempt(2, 1, "a"), answer(300, 1, 502));
        assertBroken("though it was refused", ask(1, 1, 2), answer(3, 1, 503), attempt(9, 1, "a"));
    }

    @Test
    void aKeyedRequestStaysInItsRackAndWindow() throws IOException {
        assertKept(ask(1, 1, 1), attempt(2, 1, "a"), attempt(100, 1, "c"), answer(110, 1, 200));
        assertBroken("in another rack", ask(1, 1, 1), attempt(2, 1, "a"), attempt(100, 1, "b"));
        assertBroken("too late", ask(1, 1, 1), attempt(2, 1, "a"), attempt(1_300, 1, "c"));
        // What a cut way held may come as late as it does.
        assertKept(
                fault(3, "fault", "cut", "'node-0>c'", ""),
                ask(4, 1, 1),
                attempt(5, 1, "a"),
                fault(1_300, "mended", "cut", "'node-0>c'", ""),
                attempt(1_301, 1, "c"),
                answer(1_302, 1, 200));
    }

    /** That it is lost as well is told by itself. */
    @Test
    void whoeverHasLeftIsNotSentOn() throws IOException {
        String[] kept = {ask(2_000, 1, 0), event(2_552, "left", "'txn':'1'"), attempt(2_701, 1, "a")};
        assertEquals(
                List.of(),
                judged(0, kept).broken().stream()
                        .filter(b -> b.contains("sent on"))
                        .toList());
        assertEquals(
                1,
                judged(0, kept[0], kept[1], attempt(2_703, 1, "a")).broken().stream()
                        .filter(b ->
                                b.contains("no one who left sent on") && b.contains("151 ms after its client left"))
                        .count());
        // A further attempt counts as much as a first.
        assertEquals(
                1,
                judged(0, kept[0], attempt(2_010, 1, "b"), kept[1], attempt(2_752, 1, "a")).broken().stream()
                        .filter(b ->
                                b.contains("no one who left sent on") && b.contains("200 ms after its client left"))
                        .count());
        String[] sentOn = {kept[0], kept[1], attempt(2_910, 1, "a")};
        // What a cut way held may come as late as it does, and so may what a stopped process does next.
        assertEquals(
                List.of(),
                judged(
                                0,
                                fault(2_100, "fault", "cut", "'node-0>a'", ""),
                                kept[0],
                                kept[1],
                                fault(2_900, "mended", "cut", "'node-0>a'", ""),
                                sentOn[2])
                        .broken()
                        .stream()
                        .filter(b -> b.contains("sent on"))
                        .toList());
        assertKept(
                fault(2_100, "fault", "stop", "", "0"),
                kept[0],
                kept[1],
                fault(2_900, "mended", "stop", "", "0"),
                sentOn[2]);
    }

    private static String gave(long ms, String box, String how) {
        return event(ms, "gave", "'box':'" + box + "','txn':'1','how':'" + how + "'");
    }

    /** Past the client's time, which is over at 501 ms. */
    @Test
    void aLongAnswerIsNeitherCutOffNorKeptBackNorLeftHanging() throws IOException {
        String begins = ask(1, 1, 0) + "\n" + attempt(2, 1, "a") + "\n" + event(10, "gives", "'box':'a','txn':'1'")
                + "\n" + event(11, "begun", "'txn':'1'");
        String cutOff = "'txn':'1'";
        assertKept(begins, gave(1_000, "a", "WHOLE"), answer(2_900, 1, 200));
        assertBroken(
                "kept back 2100 ms after a had given its last",
                begins,
                gave(1_000, "a", "WHOLE"),
                answer(3_100, 1, 200));
        assertBroken("cut off though a was still giving", begins, event(505, "cut-off", cutOff));
        assertBroken(
                "cut off though a was still giving", begins, gave(504, "a", "CLOSED"), event(505, "cut-off", cutOff));
        assertKept(begins, gave(300, "a", "STOPPED"), event(1_000, "cut-off", cutOff));
        assertKept(begins, gave(300, "a", "DIED"), event(301, "cut-off", cutOff));
        assertBroken(
                "had no end 2100 ms after a had stopped",
                begins,
                gave(300, "a", "STOPPED"),
                event(2_400, "cut-off", cutOff));
        assertBroken("had no end 9700 ms after a had stopped", begins, gave(300, "a", "STOPPED"));
        // What a cut way or an ended process held is not the node's doing.
        assertKept(
                fault(1, "fault", "cut", "'node-0>a'", ""),
                begins,
                event(505, "cut-off", cutOff),
                fault(900, "mended", "cut", "'node-0>a'", ""));
        assertKept(begins, event(504, "down", "'node':0"), event(505, "cut-off", cutOff));
    }

    @Test
    void aServerThatDrainsGetsNothingAfterTheGrace() throws IOException {
        String told = event(10, "list", "'node':0,'states':{'a':'DRAINING'}");
        assertKept(told, ask(300, 1, 0), attempt(301, 1, "a"), answer(320, 1, 200));
        assertBroken("drains kept", told, ask(600, 1, 0), attempt(601, 1, "a"), answer(620, 1, 200));
        assertKept(
                told,
                event(500, "list", "'node':0,'states':{'a':'READY'}"),
                ask(600, 1, 0),
                attempt(601, 1, "a"),
                answer(620, 1, 200));
        // A node that could not hear it is held to it later.
        String cut = fault(1, "fault", "cut", "'node-0>list'", "");
        assertKept(cut, told, ask(600, 1, 0), attempt(601, 1, "a"), answer(620, 1, 200));
        assertBroken("drains kept", cut, told, ask(7_000, 1, 0), attempt(7_001, 1, "a"), answer(7_020, 1, 200));
    }

    @Test
    void aColdServerThatIsPushedOverIsToldOnce() throws IOException {
        List<String> lines = new ArrayList<>(List.of(
                event(10, "box", "'box':'a','state':'up'"), event(11, "list", "'node':0,'states':{'a':'READY'}")));
        // 4 x half of its 50 requests a second, for 2 s: some 200 may come, and chance has its share.
        for (int txn = 1; txn <= 400; txn++) {
            lines.add(ask(20 + txn * 4L, txn, 0));
            lines.add(attempt(20 + txn * 4L, txn, "a"));
            lines.add(answer(21 + txn * 4L, txn, 200));
        }
        List<String> unbounded = new ArrayList<>(lines);
        Verdict verdict = judged(0, unbounded.toArray(String[]::new));
        assertEquals(
                1,
                verdict.broken().stream()
                        .filter(b -> b.contains("no cold server"))
                        .count());
        // Nobody was told that it had started: nobody is to blame.
        lines.remove(1);
        assertEquals(
                0,
                judged(0, lines.toArray(String[]::new)).broken().stream()
                        .filter(b -> b.contains("no cold server"))
                        .count());
    }

    /** 200 may come at once to one that has just started, and 2 x root of 200 + 2 are chance. */
    @ParameterizedTest
    @CsvSource({"230, 0", "231, 1"})
    void whatAllNodesSendAColdServerIsAddedUp(int count, int broken) throws IOException {
        List<String> lines = new ArrayList<>(List.of(
                event(10, "box", "'box':'a','state':'up'"),
                event(10, "list", "'node':0,'states':{'a':'READY'}"),
                event(10, "list", "'node':1,'states':{'a':'READY'}")));
        for (int txn = 1; txn <= count; txn++) {
            String node = "'node':" + txn % 2;
            lines.add(event(11, "ask", "'txn':'" + txn + "','wish':" + txn + ",'class':0," + node + ",'left':500000"));
            lines.add(event(11, "written", "'txn':'" + txn + "'"));
            lines.add(event(11, "try", "'box':'a'," + node + ",'txn':'" + txn + "','runs':true,'work':20000"));
            lines.add(answer(12, txn, 200));
        }
        assertEquals(
                broken,
                judged(0, lines.toArray(String[]::new)).broken().stream()
                        .filter(b -> b.contains("no cold server pushed over"))
                        .count());
    }

    @Test
    void sumsOverAllNodesAreHeldAgainstTheirBounds() throws IOException {
        assertBroken(
                "4 attempts at a within 100 ms",
                ask(1, 1, 0),
                attempt(1, 1, "a"),
                attempt(20, 1, "a"),
                attempt(40, 1, "a"),
                attempt(99, 1, "a"),
                answer(100, 1, 200));
        assertKept(
                ask(1, 1, 0),
                attempt(1, 1, "a"),
                attempt(20, 1, "a"),
                attempt(40, 1, "a"),
                attempt(101, 1, "a"),
                answer(110, 1, 200));
        String dial = "'box':'a','node':0";
        assertBroken("3 dials at a", event(1, "dial", dial), event(2, "dial", dial), event(3, "dial", dial));
        String call = "'node':1,'watch':false";
        assertBroken("3 calls at discovery", event(1, "call", call), event(2, "call", call), event(3, "call", call));
    }

    @Test
    void sharesAreOfWorthByPhaseAndARepeatHasItsGrace() throws IOException {
        Verdict verdict = judged(
                0,
                ask(1, 1, 0),
                answer(101, 1, 200),
                ask(5_001, 2, 0),
                answer(5_102, 2, 200),
                ask(5_200, 3, 1),
                answer(5_210, 3, 503),
                event(5_400, "ask", "'txn':'4','wish':3,'class':1,'node':1,'left':500000"),
                answer(5_700, 4, 200));
        assertEquals(
                List.of("all", "late"),
                verdict.shares().stream().map(Verdict.Share::phase).toList());
        assertEquals(6 / 7.0, verdict.shares().get(0).inTime(), 1e-9);
        assertEquals(5 / 6.0, verdict.shares().get(1).inTime(), 1e-9);
        assertEquals(1.5, verdict.shares().get(1).triesAWish(), 1e-9);
        assertEquals(1, verdict.shares().get(1).refused());
    }

    @Test
    void aLatePlayerIsAllowedForAndOneThatWasTooLateDoesNotJudge() throws IOException {
        String[] late = {ask(1, 1, 0), event(90, "broken", "'txn':'1','again':true")};
        assertEquals(0, judged(60_000, late).breaks());
        Verdict tooLate = judged(251_000, ask(1, 1, 0), answer(2, 1, 200));
        assertEquals(0, tooLate.breaks());
        assertTrue(!tooLate.isKept());
        assertTrue(tooLate.lines().get(tooLate.lines().size() - 1).startsWith("NOT JUDGED"));
    }

    /** A client leaves when it has read what had come, and has counted out what the player took itself. */
    @ParameterizedTest
    @CsvSource({"300", "980", "1000"})
    void aLatePlayerIsNoExcuseForWhoLeft(long lateMs) throws IOException {
        assertBroken(
                "no request lost",
                ask(1, 1, 0),
                event(lateMs, "late", "'by':40000"),
                event(1_002, "left", "'txn':'1'"));
    }

    /** Half a second after its time an answer is not lost: it is told, and worth nothing. */
    @Test
    void anAnswerThatComesLateIsCounted() throws IOException {
        Verdict verdict = judged(0, ask(1, 1, 0), answer(553, 1, 502), ask(1, 2, 0), answer(540, 2, 502));
        assertEquals(List.of(), verdict.broken());
        assertEquals(1, verdict.sums().overdue());
    }

    @Test
    void aLineThatIsNoEventIsToldByItsNumber() throws IOException {
        Path file = Files.writeString(folder.resolve("t.jsonl"), HEAD + "\n{\"t\":1}\n");
        assertTrue(assertThrows(IOException.class, () -> Judge.of(file))
                .getMessage()
                .contains("line 2"));
        assertThrows(IOException.class, () -> Judge.of(Files.writeString(folder.resolve("e"), "")));
    }
}
