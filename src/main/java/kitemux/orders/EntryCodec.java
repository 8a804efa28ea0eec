package kitemux.orders;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import kitemux.orders.Entry.Accepted;
import kitemux.orders.Entry.Answer;
import kitemux.orders.Entry.Answered;
import kitemux.orders.Entry.Checkpoint;
import kitemux.orders.Entry.Ended;
import kitemux.orders.Entry.Intent;
import kitemux.orders.Entry.LeftOpen;
import kitemux.orders.Entry.Result;

/**
 * Encodes and decodes entries as the payloads of frames. docs/order-journal.md, section "Payloads", specifies
 * the format: numbers are big-endian, and texts are UTF-8 with their length in front.
 */
final class EntryCodec {
    /** Longest payload. All texts of an entry at their longest fit; a longer length marks a damaged frame. */
    static final int MAX_PAYLOAD_BYTES = 64 << 10;
    /** Longest encoded text. Longer texts are truncated and end with {@link #TRUNCATION_MARK}. */
    static final int MAX_TEXT_BYTES = 8 << 10;

    private static final String TRUNCATION_MARK = "...";

    /** Initial size of the output buffer, into which most entries fit; it grows as needed. */
    private static final int INITIAL_BUFFER_BYTES = 192;

    private static final byte ACCEPTED = 1;
    private static final byte INTENT = 2;
    private static final byte ENDED = 3;
    private static final byte ANSWERED = 4;
    private static final byte LEFT_OPEN = 5;
    private static final byte CHECKPOINT = 6;

    private EntryCodec() {}

    static byte[] write(Entry entry) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            write(out, entry);
        } catch (IOException e) {
            throw new UncheckedIOException("the entry could not be encoded in memory", e);
        }
        return bytes.toByteArray();
    }

    private static void write(DataOutputStream out, Entry entry) throws IOException {
        if (entry instanceof Accepted accepted) {
            writePrefix(out, ACCEPTED, entry);
            writeText(out, accepted.orderId());
            writeText(out, accepted.requestClass());
            writeText(out, accepted.tenant());
            writeText(out, accepted.key());
            writeText(out, accepted.idempotencyKey());
            out.writeInt(accepted.bodyBytes());
            out.write(accepted.digest().bytes());
        } else if (entry instanceof Intent intent) {
            writePrefix(out, INTENT, entry);
            out.writeShort(intent.attempt());
            out.writeLong(intent.deadlineUs());
            writeText(out, intent.server());
            writeText(out, intent.endpoint());
        } else if (entry instanceof Ended ended) {
            writePrefix(out, ENDED, entry);
            out.writeShort(ended.attempt());
            out.writeByte(ended.result().code());
            out.writeBoolean(ended.mayHaveRun());
        } else if (entry instanceof Answered answered) {
            writePrefix(out, ANSWERED, entry);
            out.writeByte(answered.answer().code());
        } else if (entry instanceof LeftOpen) {
            writePrefix(out, LEFT_OPEN, entry);
        } else if (entry instanceof Checkpoint checkpoint) {
            writePrefix(out, CHECKPOINT, entry);
            out.writeBoolean(checkpoint.last());
            out.writeInt(checkpoint.open().size());
            for (long number : checkpoint.open()) {
                out.writeLong(number);
            }
        }
    }

    private static void writePrefix(DataOutputStream out, byte type, Entry entry) throws IOException {
        out.writeByte(type);
        out.writeLong(entry.number());
        out.writeLong(entry.atUs());
    }

    private static void writeText(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_TEXT_BYTES) {
            // Truncates between characters: a partial UTF-8 sequence would not be read back as it was written.
            int end = MAX_TEXT_BYTES - TRUNCATION_MARK.length();
            while ((bytes[end] & 0xc0) == 0x80) {
                end--;
            }
            bytes = (new String(bytes, 0, end, StandardCharsets.UTF_8) + TRUNCATION_MARK)
                    .getBytes(StandardCharsets.UTF_8);
        }
        out.writeShort(bytes.length);
        out.write(bytes);
    }

    /**
     * Decodes an entry that {@link #write} encoded.
     *
     * @throws InvalidEntryException if the bytes are not a valid entry
     */
    static Entry read(ByteBuffer in) throws InvalidEntryException {
        try {
            Entry entry = readEntry(in);
            if (in.hasRemaining()) {
                throw new InvalidEntryException(in.remaining() + " bytes follow the end of the entry");
            }
            return entry;
        } catch (BufferUnderflowException e) {
            throw new InvalidEntryException("the entry is truncated");
        }
    }

    private static Entry readEntry(ByteBuffer in) throws InvalidEntryException {
        byte type = in.get();
        long number = in.getLong();
        long atUs = in.getLong();
        return switch (type) {
            case ACCEPTED ->
                new Accepted(
                        number,
                        atUs,
                        readText(in),
                        readText(in),
                        readText(in),
                        readText(in),
                        readText(in),
                        requireNonNegative(in.getInt(), "body length"),
                        readDigest(in));
            case INTENT -> {
                int attempt = Short.toUnsignedInt(in.getShort());
                long deadlineUs = in.getLong();
                yield new Intent(number, atUs, attempt, readText(in), readText(in), deadlineUs);
            }
            case ENDED ->
                new Ended(number, atUs, Short.toUnsignedInt(in.getShort()), readResult(in.get()), readFlag(in.get()));
            case ANSWERED -> new Answered(number, atUs, readAnswer(in.get()));
            case LEFT_OPEN -> new LeftOpen(number, atUs);
            case CHECKPOINT -> readCheckpoint(number, atUs, in);
            default -> throw new InvalidEntryException("unknown entry type " + type);
        };
    }

    private static Checkpoint readCheckpoint(long number, long atUs, ByteBuffer in) throws InvalidEntryException {
        boolean last = readFlag(in.get());
        int count = requireNonNegative(in.getInt(), "count");
        if (count > in.remaining() / Long.BYTES) {
            throw new InvalidEntryException("the entry is truncated");
        }
        Long[] open = new Long[count];
        for (int i = 0; i < count; i++) {
            open[i] = in.getLong();
        }
        return new Checkpoint(number, atUs, List.of(open), last);
    }

    private static String readText(ByteBuffer in) throws InvalidEntryException {
        int length = Short.toUnsignedInt(in.getShort());
        if (length > MAX_TEXT_BYTES) {
            throw new InvalidEntryException("a text is too long: " + length + " bytes");
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static Digest readDigest(ByteBuffer in) {
        byte[] bytes = new byte[Digest.BYTES];
        in.get(bytes);
        return Digest.fromBytes(bytes);
    }

    private static int requireNonNegative(int value, String field) throws InvalidEntryException {
        if (value < 0) {
            throw new InvalidEntryException("the " + field + " is negative: " + value);
        }
        return value;
    }

    private static boolean readFlag(byte value) throws InvalidEntryException {
        if (value != 0 && value != 1) {
            throw new InvalidEntryException("a boolean is neither 0 nor 1 but " + value);
        }
        return value == 1;
    }

    private static Result readResult(byte code) throws InvalidEntryException {
        for (Result candidate : Result.values()) {
            if (candidate.code() == code) {
                return candidate;
            }
        }
        throw new InvalidEntryException("unknown result code " + code);
    }

    private static Answer readAnswer(byte code) throws InvalidEntryException {
        for (Answer candidate : Answer.values()) {
            if (candidate.code() == code) {
                return candidate;
            }
        }
        throw new InvalidEntryException("unknown answer code " + code);
    }

    /** Thrown for bytes that are not a valid entry; the message says why. */
    static final class InvalidEntryException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidEntryException(String message) {
            super(message);
        }
    }
}
