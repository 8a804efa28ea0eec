package kitemux.orders;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import kitemux.orders.Entry.Answer;
import kitemux.orders.Entry.Answered;
import kitemux.orders.Entry.Checkpoint;
import kitemux.orders.Entry.Ended;
import kitemux.orders.Entry.Intent;
import kitemux.orders.Entry.LeftOpen;
import kitemux.orders.Entry.Result;
import kitemux.orders.Entry.Accepted;

/**
 * Entries as bytes: what stands inside a frame. The form is written down in docs/order-journal.md, section
 * "Payloads"; numbers are big-endian, texts UTF-8 behind their length.
 */
final class EntryCodec {
    /** Room for all texts of an entry at their longest; what says that it is longer is none. */
    static final int MOST_BYTES = 64 << 10;
    /** Of one text. Longer ones are cut, and say so by their last characters. */
    static final int MOST_TEXT = 8 << 10;

    private static final String CUT = "...";

    /** Most entries fit into it; it grows. */
    private static final int FIRST_ROOM = 192;

    private static final byte TAKEN = 1;
    private static final byte INTENT = 2;
    private static final byte ENDED = 3;
    private static final byte ANSWERED = 4;
    private static final byte LEFT_OPEN = 5;
    private static final byte CHECKPOINT = 6;

    private EntryCodec() {}

    static byte[] write(Entry entry) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(FIRST_ROOM);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            write(out, entry);
        } catch (IOException e) {
            throw new UncheckedIOException("memory cannot be written", e);
        }
        return bytes.toByteArray();
    }

    private static void write(DataOutputStream out, Entry entry) throws IOException {
        if (entry instanceof Accepted taken) {
            head(out, TAKEN, entry);
            text(out, taken.orderId());
            text(out, taken.requestClass());
            text(out, taken.tenant());
            text(out, taken.key());
            text(out, taken.idempotencyKey());
            out.writeInt(taken.bodyBytes());
            out.write(taken.digest().bytes());
        } else if (entry instanceof Intent intent) {
            head(out, INTENT, entry);
            out.writeShort(intent.attempt());
            out.writeLong(intent.deadlineUs());
            text(out, intent.server());
            text(out, intent.endpoint());
        } else if (entry instanceof Ended ended) {
            head(out, ENDED, entry);
            out.writeShort(ended.attempt());
            out.writeByte(ended.result().code());
            out.writeBoolean(ended.mayHaveRun());
        } else if (entry instanceof Answered answered) {
            head(out, ANSWERED, entry);
            out.writeByte(answered.answer().code());
        } else if (entry instanceof LeftOpen) {
            head(out, LEFT_OPEN, entry);
        } else if (entry instanceof Checkpoint point) {
            head(out, CHECKPOINT, entry);
            out.writeBoolean(point.last());
            out.writeInt(point.open().size());
            for (long number : point.open()) {
                out.writeLong(number);
            }
        }
    }

    private static void head(DataOutputStream out, byte type, Entry entry) throws IOException {
        out.writeByte(type);
        out.writeLong(entry.number());
        out.writeLong(entry.atUs());
    }

    private static void text(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MOST_TEXT) {
            // Cut between characters: a half of one would not be read back as it was written.
            int end = MOST_TEXT - CUT.length();
            while ((bytes[end] & 0xc0) == 0x80) {
                end--;
            }
            bytes = (new String(bytes, 0, end, StandardCharsets.UTF_8) + CUT).getBytes(StandardCharsets.UTF_8);
        }
        out.writeShort(bytes.length);
        out.write(bytes);
    }

    /**
     * Reads what {@link #write} wrote.
     *
     * @throws BadEntryException if it is anything else
     */
    static Entry read(ByteBuffer in) throws BadEntryException {
        try {
            Entry entry = entry(in);
            if (in.hasRemaining()) {
                throw new BadEntryException(in.remaining() + " bytes too many");
            }
            return entry;
        } catch (BufferUnderflowException e) {
            throw new BadEntryException("its end is missing");
        }
    }

    private static Entry entry(ByteBuffer in) throws BadEntryException {
        byte type = in.get();
        long number = in.getLong();
        long atUs = in.getLong();
        return switch (type) {
            case TAKEN ->
                new Accepted(
                        number,
                        atUs,
                        text(in),
                        text(in),
                        text(in),
                        text(in),
                        text(in),
                        whole(in.getInt(), "body length"),
                        digest(in));
            case INTENT -> {
                int attempt = Short.toUnsignedInt(in.getShort());
                long untilUs = in.getLong();
                yield new Intent(number, atUs, attempt, text(in), text(in), untilUs);
            }
            case ENDED -> new Ended(number, atUs, Short.toUnsignedInt(in.getShort()), result(in.get()), flag(in.get()));
            case ANSWERED -> new Answered(number, atUs, answer(in.get()));
            case LEFT_OPEN -> new LeftOpen(number, atUs);
            case CHECKPOINT -> checkpoint(number, atUs, in);
            default -> throw new BadEntryException("its type is " + type);
        };
    }

    private static Checkpoint checkpoint(long number, long atUs, ByteBuffer in) throws BadEntryException {
        boolean last = flag(in.get());
        int count = whole(in.getInt(), "count");
        if (count > in.remaining() / Long.BYTES) {
            throw new BadEntryException("its end is missing");
        }
        Long[] open = new Long[count];
        for (int i = 0; i < count; i++) {
            open[i] = in.getLong();
        }
        return new Checkpoint(number, atUs, List.of(open), last);
    }

    private static String text(ByteBuffer in) throws BadEntryException {
        int length = Short.toUnsignedInt(in.getShort());
        if (length > MOST_TEXT) {
            throw new BadEntryException("a text of " + length + " bytes");
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static Digest digest(ByteBuffer in) {
        byte[] bytes = new byte[Digest.BYTES];
        in.get(bytes);
        return Digest.read(bytes);
    }

    private static int whole(int value, String what) throws BadEntryException {
        if (value < 0) {
            throw new BadEntryException("its " + what + " is " + value);
        }
        return value;
    }

    private static boolean flag(byte value) throws BadEntryException {
        if (value != 0 && value != 1) {
            throw new BadEntryException("a flag is " + value);
        }
        return value == 1;
    }

    private static Result result(byte code) throws BadEntryException {
        for (Result each : Result.values()) {
            if (each.code() == code) {
                return each;
            }
        }
        throw new BadEntryException("its result is " + code);
    }

    private static Answer answer(byte code) throws BadEntryException {
        for (Answer each : Answer.values()) {
            if (each.code() == code) {
                return each;
            }
        }
        throw new BadEntryException("its answer is " + code);
    }

    /** Bytes that no entry is written as; the message says why. */
    static final class BadEntryException extends Exception {
        private static final long serialVersionUID = 1;

        BadEntryException(String message) {
            super(message);
        }
    }
}
