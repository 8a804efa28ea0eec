package kitemux.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The adapter on short inputs of the wire protocol. */
class LinkTest {
    private static final String BOOT = "boot node=node-3 initSeed=5 balancers=1 classes.count=1"
            + " classes.0.name=view"
            + " classes.0.giveUpUs=500000 classes.0.onTimeUs=100000 classes.0.repeat=safe unknown.key=1"
            + " quantumUs=2000\n";
    private static final String LIST = "roster setId=0 nodesList=1\n"
            + "server server=10.0.0.7:8003 site=z generationHw=k block=0 lifecycle=Running scale=1 extra=2\n"
            + "topology node=node-3 setId=0 generation=1 kind=stale_copy\n";
    private static final String REQUEST =
            "work_item node=node-3 handle=b7c6f2075d3a91c4 lane=view" + " patienceLeftUs=240000" + " novel=x\n";
    private static final String BEGIN_BATCH = "begin_batch timeUs=1000000\n";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private String run(String input) throws Exception {
        new Link(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void emptyBatchIsAnsweredWithNext() throws Exception {
        assertEquals("next\n", run("begin_batch timeUs=8412250\neob\n"));
    }

    @Test
    void requestIsRoutedWithItsOriginalId() throws Exception {
        String reply = run(BEGIN_BATCH + BOOT + LIST + REQUEST + "eob\n");
        assertTrue(
                reply.contains("route node=node-3 handle=b7c6f2075d3a91c4" + " server=10.0.0.7:8003 untilUs=1240000\n"),
                reply);
        assertTrue(reply.endsWith("next\n"));
    }

    @Test
    void timedOutRequestIsDeclined() throws Exception {
        String reply = run(BEGIN_BATCH + BOOT + LIST + REQUEST + "eob\nbegin_batch timeUs=1240000\nresolved node=node-3"
                + " handle=b7c6f2075d3a91c4 latencyUs=240000 rc=40 seqNo=0 server=10.0.0.7:8003\neob\n");
        assertTrue(reply.contains("decline node=node-3 handle=b7c6f2075d3a91c4\n"), reply);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "begin_batch timeUs=1 | the input ends inside a batch",
                "begin_batch timeUs=1;mystery node=node-3 x=1;eob | node",
                "begin_batch timeUs=x;eob | timeUs",
                "begin_batch;eob | timeUs",
                "hello;eob | begin_batch",
                "begin_batch timeUs=1;bell node=node-9 label=w;eob | never started",
                "B;mystery node=node-3 x=1;eob | unknown event mystery",
                "B;topology node=node-3 setId=4 generation=1 kind=whole;eob | never given",
                "B;topology node=node-3 setId=99 generation=1 kind=whole;eob | setId",
                "B;topology node=node-3 setId=0 generation=1 kind=odd;eob | kind",
                "B;work_item node=node-3 handle=b7c6 lane=view patienceLeftUs=1;eob | handle",
                "B;work_item node=node-3 handle=b7c6f2075d3a91c4 lane=other patienceLeftUs=1;eob | lane",
                "B;work_item node=node-3 handle=b7c6f2075d3a91c4 lane=view;eob | patienceLeftUs",
                "B;resolved node=node-3 handle=b7c6f2075d3a91c4 rc=11 seqNo=0;eob | rc",
                "B;roster setId=0 nodesList=2;server server=a lifecycle=Running;eob | roster",
                "B;roster setId=0 nodesList=1;server server=a lifecycle=Odd;eob | lifecycle",
                "begin_batch timeUs=1;boot node=n initSeed=1 classes.count=1;eob | classes.0.",
                "B;boot node=n initSeed=1 limits.probes=maybe;eob | limits.probes",
                "B;boot node=n initSeed=1 rules.coldFrom=NaN;eob | rules.coldFrom",
                "B;boot node=n initSeed=1 costs.crossZone=Infinity;eob | costs.crossZone",
                "B;roster setId=0 nodesList=1;server server=a lifecycle=Running;topology node=node-3 setId=0;eob"
                        + " | kind",
                "begin_batch timeUs=1;boot node=n initSeed=1;eob | classes is empty"
            })
    void malformedInputIsReportedByLineAndFieldWithoutOutput(String lines, String expected) {
        String input = lines.trim().replace("B;", BEGIN_BATCH + BOOT).replace(';', '\n') + "\n";
        WireException e = assertThrows(WireException.class, () -> run(input));
        assertTrue(e.getMessage().contains(expected.trim()), e.getMessage());
        assertTrue(e.getMessage().startsWith("line "), e.getMessage());
        assertEquals(-1, e.getMessage().indexOf('\n'));
        assertEquals(0, out.size());
    }

    @Test
    void requestKeyAndWarmKeysReachTheModule() throws Exception {
        String boot = BOOT.replace("unknown.key=1", "extra.warmKeys=true");
        StringBuilder list = new StringBuilder("roster setId=0 nodesList=9\n");
        for (int i = 0; i < 9; i++) {
            list.append("server server=10.0.0.").append(i).append(":80 lifecycle=Running\n");
        }
        list.append("topology node=node-3 setId=0 generation=1 kind=stale_copy\n");
        for (String seed : new String[] {"5", "6", "7", "8"}) {
            run(BEGIN_BATCH + boot.replace("initSeed=5", "initSeed=" + seed) + list
                    + REQUEST.replace("novel=x", "routeKey=k:same") + "eob\n");
        }
        // The key draws the same server for every seed.
        assertEquals(
                1,
                out.toString(StandardCharsets.UTF_8)
                        .lines()
                        .filter(l -> l.startsWith("route"))
                        .distinct()
                        .count());
    }

    @Test
    void moduleExceptionIsReportedAsFault() throws Exception {
        String reply = run(BEGIN_BATCH + BOOT + LIST + REQUEST + REQUEST + "eob\n");
        assertTrue(reply.contains("fault node=node-3 noteText=java.lang.IllegalArgumentException"), reply);
        assertTrue(reply.endsWith("next\n"));
    }

    @Test
    void lastLineWithoutLineFeedIsRead() throws Exception {
        assertEquals("next\n", run("begin_batch timeUs=8412250\neob"));
    }

    @Test
    void instancesDoNotAffectEachOther() throws Exception {
        String alone = run(BEGIN_BATCH + BOOT + LIST + REQUEST + "eob\n");
        out.reset();
        String together =
                run(BEGIN_BATCH + BOOT.replace("node-3", "node-5") + LIST.replace("node=node-3", "node=node-5") + BOOT
                        + LIST + REQUEST.replace("node-3", "node-5") + REQUEST + "eob\n");
        StringBuilder ownLines = new StringBuilder();
        together.lines()
                .filter(l -> !l.contains("node-5"))
                .forEach(l -> ownLines.append(l).append('\n'));
        assertEquals(alone, ownLines.toString());
    }
}
