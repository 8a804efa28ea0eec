package kitemux.mysql;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import kitemux.mysql.ResponseTracker.Completion;
import kitemux.mysql.ResponseTracker.ResponseType;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

/** Where answers end, whatever their rows hold. */
class AnswerTrackerTest {
    private static final String SEED = "43";
    private static final int STATUS = OkPacket.AUTOCOMMIT;

    private static byte[] bytes(int... values) {
        byte[] bytes = new byte[values.length];
        for (int i = 0; i < values.length; i++) {
            bytes[i] = (byte) values[i];
        }
        return bytes;
    }

    private static byte[] ok(int header, int status, long capabilities) {
        ByteBuf out = Unpooled.buffer();
        new OkPacket(300, 0, status, 0, "", null).write(out, header, capabilities);
        return ByteBufUtil.getBytes(out);
    }

    private static byte[] eof(int status) {
        return bytes(OkPacket.RESULT_END_HEADER, 0, 0, status, status >> 8);
    }

    private static byte[] error() {
        ByteBuf out = Unpooled.buffer();
        new ErrPacket(1317, "70100", "Query execution was interrupted").write(out);
        return ByteBufUtil.getBytes(out);
    }

    /** Rows of text that begin as all else may begin: NULL, an empty field, a field of 254 bytes and more. */
    private static byte[] row(SplittableRandom random) {
        return switch (random.nextInt(5)) {
            case 0 -> bytes(Fields.NULL, 0);
            case 1 -> bytes(0);
            case 2 -> bytes(0, 0, 0, 2, 0, 0, 0);
            case 3 -> new byte[] {3, (byte) 0xfe, (byte) 0xff, 0};
            default -> {
                byte[] wide = new byte[400];
                wide[0] = (byte) 0xfc;
                yield wide;
            }
        };
    }

    /** An answer of one to three results, as a server writes it. */
    private static List<byte[]> results(SplittableRandom random, long capabilities, boolean fails) {
        boolean eofs = !Capabilities.has(capabilities, Capabilities.DEPRECATE_EOF);
        List<byte[]> all = new ArrayList<>();
        int results = random.nextInt(1, 4);
        for (int i = 0; i < results; i++) {
            int status = STATUS | (i < results - 1 ? OkPacket.MORE_RESULTS : 0);
            if (random.nextInt(3) == 0 && !(fails && i == results - 1)) {
                all.add(ok(OkPacket.HEADER, status, capabilities));
                continue;
            }
            int columns = random.nextInt(1, 5);
            all.add(bytes(columns));
            for (int c = 0; c < columns; c++) {
                all.add(bytes(3, 'd', 'e', 'f', 0));
            }
            if (eofs) {
                all.add(eof(STATUS));
            }
            for (int r = random.nextInt(4); r > 0; r--) {
                all.add(row(random));
            }
            all.add(
                    fails && i == results - 1
                            ? error()
                            : eofs ? eof(status) : ok(OkPacket.RESULT_END_HEADER, status, capabilities));
        }
        return all;
    }

    private static void play(ResponseTracker tracker, byte[] payload) {
        int first = payload.length == 0 ? -1 : payload[0] & 0xff;
        if (tracker.beginPayload(first, payload.length)) {
            tracker.inspect(Unpooled.wrappedBuffer(payload));
        } else {
            tracker.skipPayload();
        }
    }

    @Property(seed = SEED, tries = 3_000)
    void resultsEndWithTheirLastPacketAndNotBefore(
            @ForAll long seed, @ForAll boolean eofs, @ForAll boolean tracks, @ForAll boolean fails) {
        long capabilities = (eofs ? 0 : Capabilities.DEPRECATE_EOF) | (tracks ? Capabilities.SESSION_TRACK : 0);
        List<byte[]> answer = results(new SplittableRandom(seed), capabilities, fails);
        ResponseTracker tracker = new ResponseTracker(ResponseType.RESULT_SETS, capabilities);
        assertFalse(tracker.hasStarted());
        for (byte[] payload : answer) {
            assertEquals(null, tracker.completion());
            play(tracker, payload);
            assertTrue(tracker.hasStarted());
        }
        assertEquals(fails ? Completion.ERROR : Completion.OK, tracker.completion());
        assertEquals(
                fails ? 1317 : 0, tracker.error() == null ? 0 : tracker.error().code());
        assertThrows(ProtocolException.class, () -> tracker.beginPayload(0, 7), "nothing comes behind the end");
    }

    @Property(seed = SEED)
    void whatIsSaidOfAPreparedStatementEndsWithItsColumns(@ForAll boolean eofs, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int columns = random.nextInt(4);
        int parameters = random.nextInt(4);
        List<byte[]> answer = new ArrayList<>();
        answer.add(bytes(0, 9, 1, 0, 0, columns, 0, parameters, 0, 0, 0, 0));
        for (int count : new int[] {parameters, columns}) {
            for (int i = 0; i < count; i++) {
                answer.add(bytes(3, 'd', 'e', 'f'));
            }
            if (eofs && count > 0) {
                answer.add(eof(STATUS));
            }
        }
        ResponseTracker tracker =
                new ResponseTracker(ResponseType.PREPARED_STATEMENT, eofs ? 0 : Capabilities.DEPRECATE_EOF);
        for (byte[] payload : answer) {
            assertEquals(null, tracker.completion());
            play(tracker, payload);
        }
        assertEquals(Completion.OK, tracker.completion());
        assertEquals(265, tracker.statementId());
    }

    @Example
    void aRowThatBeginsLikeAnEndIsARowIfItIsLong() {
        for (long capabilities : new long[] {0, Capabilities.DEPRECATE_EOF}) {
            ResponseTracker tracker = new ResponseTracker(ResponseType.RESULT_SETS, capabilities);
            play(tracker, bytes(1));
            play(tracker, bytes(3, 'd', 'e', 'f'));
            if (capabilities == 0) {
                play(tracker, eof(STATUS));
            }
            assertFalse(tracker.beginPayload(0xfe, 1 << 25), "a field of 16 MiB and more");
            tracker.skipPayload();
            assertEquals(null, tracker.completion());
            play(tracker, capabilities == 0 ? eof(STATUS) : ok(OkPacket.RESULT_END_HEADER, STATUS, capabilities));
            assertEquals(Completion.OK, tracker.completion());
            assertEquals(STATUS, tracker.status());
        }
    }

    @Example
    void whatMayNotStandWhereItStandsIsAFault() {
        assertThrows(
                ProtocolException.class,
                () -> play(new ResponseTracker(ResponseType.RESULT_SETS, 0), bytes(0xfb, 'f')),
                "a server that asks for a file of the client's");
        assertThrows(
                ProtocolException.class,
                () -> play(new ResponseTracker(ResponseType.STATUS_ONLY, 0), bytes(1)),
                "rows of a ping");
        assertThrows(ProtocolException.class, () -> play(new ResponseTracker(ResponseType.RESULT_SETS, 0), bytes()));
        assertThrows(
                ProtocolException.class, () -> play(new ResponseTracker(ResponseType.RESULT_SETS, 0), bytes(1, 1)));
        assertThrows(
                ProtocolException.class,
                () -> play(new ResponseTracker(ResponseType.RESULT_SETS, 0), bytes(0xfe, 0, 0, 0, 0, 1, 0, 0, 0)),
                "more columns than any table has");
        ResponseTracker tracker = new ResponseTracker(ResponseType.RESULT_SETS, 0);
        play(tracker, bytes(1));
        play(tracker, bytes(3, 'd', 'e', 'f'));
        assertThrows(ProtocolException.class, () -> play(tracker, bytes(1, 'x')), "a row where an EOF is due");
    }

    @Property(seed = SEED, tries = 5_000)
    void garbageEndsOrIsAFault(
            @ForAll @Size(max = 12) List<@Size(max = 14) byte[]> payloads,
            @ForAll ResponseType form,
            @ForAll boolean eofs) {
        ResponseTracker tracker = new ResponseTracker(form, eofs ? 0 : Capabilities.DEPRECATE_EOF);
        try {
            for (byte[] payload : payloads) {
                play(tracker, payload);
            }
        } catch (ProtocolException fault) {
            assertEquals(ProtocolException.Kind.MALFORMED, fault.kind());
        }
    }
}
