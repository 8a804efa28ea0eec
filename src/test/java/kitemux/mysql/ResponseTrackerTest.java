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

/** Detection of the end of a response, whatever its rows contain. */
class ResponseTrackerTest {
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

    /** Text rows that begin like other packets: with NULL, an empty field, or the length of a long field. */
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

    /** A response of one to three results, as a server writes it. */
    private static List<byte[]> results(SplittableRandom random, long capabilities, boolean endsWithError) {
        boolean usesEofPackets = !Capabilities.has(capabilities, Capabilities.DEPRECATE_EOF);
        List<byte[]> payloads = new ArrayList<>();
        int results = random.nextInt(1, 4);
        for (int i = 0; i < results; i++) {
            int status = STATUS | (i < results - 1 ? OkPacket.MORE_RESULTS : 0);
            if (random.nextInt(3) == 0 && !(endsWithError && i == results - 1)) {
                payloads.add(ok(OkPacket.HEADER, status, capabilities));
                continue;
            }
            int columns = random.nextInt(1, 5);
            payloads.add(bytes(columns));
            for (int c = 0; c < columns; c++) {
                payloads.add(bytes(3, 'd', 'e', 'f', 0));
            }
            if (usesEofPackets) {
                payloads.add(eof(STATUS));
            }
            for (int r = random.nextInt(4); r > 0; r--) {
                payloads.add(row(random));
            }
            payloads.add(
                    endsWithError && i == results - 1
                            ? error()
                            : usesEofPackets ? eof(status) : ok(OkPacket.RESULT_END_HEADER, status, capabilities));
        }
        return payloads;
    }

    private static void feed(ResponseTracker tracker, byte[] payload) {
        int first = payload.length == 0 ? -1 : payload[0] & 0xff;
        if (tracker.beginPayload(first, payload.length)) {
            tracker.inspect(Unpooled.wrappedBuffer(payload));
        } else {
            tracker.skipPayload();
        }
    }

    @Property(seed = SEED, tries = 3_000)
    void responseEndsExactlyWithItsLastPacket(
            @ForAll long seed,
            @ForAll boolean usesEofPackets,
            @ForAll boolean tracksSession,
            @ForAll boolean endsWithError) {
        long capabilities =
                (usesEofPackets ? 0 : Capabilities.DEPRECATE_EOF) | (tracksSession ? Capabilities.SESSION_TRACK : 0);
        List<byte[]> response = results(new SplittableRandom(seed), capabilities, endsWithError);
        ResponseTracker tracker = new ResponseTracker(ResponseType.RESULT_SETS, capabilities);
        assertFalse(tracker.hasStarted());
        for (byte[] payload : response) {
            assertEquals(null, tracker.completion());
            feed(tracker, payload);
            assertTrue(tracker.hasStarted());
        }
        assertEquals(endsWithError ? Completion.ERROR : Completion.OK, tracker.completion());
        assertEquals(
                endsWithError ? 1317 : 0,
                tracker.error() == null ? 0 : tracker.error().code());
        assertThrows(ProtocolException.class, () -> tracker.beginPayload(0, 7), "no payload may follow the end");
    }

    @Property(seed = SEED)
    void prepareResponseEndsWithItsColumnDefinitions(@ForAll boolean usesEofPackets, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int columns = random.nextInt(4);
        int parameters = random.nextInt(4);
        List<byte[]> response = new ArrayList<>();
        response.add(bytes(0, 9, 1, 0, 0, columns, 0, parameters, 0, 0, 0, 0));
        for (int count : new int[] {parameters, columns}) {
            for (int i = 0; i < count; i++) {
                response.add(bytes(3, 'd', 'e', 'f'));
            }
            if (usesEofPackets && count > 0) {
                response.add(eof(STATUS));
            }
        }
        ResponseTracker tracker =
                new ResponseTracker(ResponseType.PREPARED_STATEMENT, usesEofPackets ? 0 : Capabilities.DEPRECATE_EOF);
        for (byte[] payload : response) {
            assertEquals(null, tracker.completion());
            feed(tracker, payload);
        }
        assertEquals(Completion.OK, tracker.completion());
        assertEquals(265, tracker.statementId());
    }

    @Example
    void longRowWithTheEndHeaderIsARow() {
        for (long capabilities : new long[] {0, Capabilities.DEPRECATE_EOF}) {
            ResponseTracker tracker = new ResponseTracker(ResponseType.RESULT_SETS, capabilities);
            feed(tracker, bytes(1));
            feed(tracker, bytes(3, 'd', 'e', 'f'));
            if (capabilities == 0) {
                feed(tracker, eof(STATUS));
            }
            assertFalse(tracker.beginPayload(0xfe, 1 << 25), "a row with a field of at least 16 MiB");
            tracker.skipPayload();
            assertEquals(null, tracker.completion());
            feed(tracker, capabilities == 0 ? eof(STATUS) : ok(OkPacket.RESULT_END_HEADER, STATUS, capabilities));
            assertEquals(Completion.OK, tracker.completion());
            assertEquals(STATUS, tracker.status());
        }
    }

    @Example
    void misplacedPayloadsAreRejected() {
        assertThrows(
                ProtocolException.class,
                () -> feed(new ResponseTracker(ResponseType.RESULT_SETS, 0), bytes(0xfb, 'f')),
                "LOCAL INFILE request of a server");
        assertThrows(
                ProtocolException.class,
                () -> feed(new ResponseTracker(ResponseType.STATUS_ONLY, 0), bytes(1)),
                "result set as response to a ping");
        assertThrows(ProtocolException.class, () -> feed(new ResponseTracker(ResponseType.RESULT_SETS, 0), bytes()));
        assertThrows(
                ProtocolException.class, () -> feed(new ResponseTracker(ResponseType.RESULT_SETS, 0), bytes(1, 1)));
        assertThrows(
                ProtocolException.class,
                () -> feed(new ResponseTracker(ResponseType.RESULT_SETS, 0), bytes(0xfe, 0, 0, 0, 0, 1, 0, 0, 0)),
                "column count above the limit");
        ResponseTracker tracker = new ResponseTracker(ResponseType.RESULT_SETS, 0);
        feed(tracker, bytes(1));
        feed(tracker, bytes(3, 'd', 'e', 'f'));
        assertThrows(ProtocolException.class, () -> feed(tracker, bytes(1, 'x')), "row in place of an EOF packet");
    }

    @Property(seed = SEED, tries = 5_000)
    void arbitraryPayloadsEndTheResponseOrAreRejected(
            @ForAll @Size(max = 12) List<@Size(max = 14) byte[]> payloads,
            @ForAll ResponseType form,
            @ForAll boolean usesEofPackets) {
        ResponseTracker tracker = new ResponseTracker(form, usesEofPackets ? 0 : Capabilities.DEPRECATE_EOF);
        try {
            for (byte[] payload : payloads) {
                feed(tracker, payload);
            }
        } catch (ProtocolException exception) {
            assertEquals(ProtocolException.Kind.MALFORMED, exception.kind());
        }
    }
}
