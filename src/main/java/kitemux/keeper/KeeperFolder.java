package kitemux.keeper;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.zip.CRC32C;
import kitemux.config.Json;
import kitemux.disk.Disk;
import kitemux.rollout.LogRecord;
import kitemux.rollout.RolloutText;

/**
 * A keeper's folder: one file of records, a line each with a checksum in front, the first of which says
 * whose it is. For one thread at a time.
 *
 * <p>What a crash leaves of the last record, a line without its end, was never synced and so never answered:
 * it is cut off. Anything else that is not as it was written may have been an answered promise. The folder
 * then begins anew with the versions that stand before it, no vote, and another identity, which no set of
 * voters names: that keeper learns, and does not vote.
 */
final class KeeperFolder {
    /** Name of the file. */
    static final String FILE = "records";
    /** A file that is longer is written anew; whole and history have 7 MB at most. */
    static final long MOST_BYTES = 16 << 20;

    private static final String NEW = FILE + ".new";
    private static final String FORM = "kitemux keeper";
    private static final int VERSION = 1;
    private static final int CHECKSUM = 8;

    private final Disk disk;
    private final int keeper;
    private final String identity;
    private final List<LogRecord> found;
    private Disk.OutputFile out;
    private long length;

    private KeeperFolder(Disk disk, int keeper, String identity, List<LogRecord> found) {
        this.disk = disk;
        this.keeper = keeper;
        this.identity = identity;
        this.found = List.copyOf(found);
    }

    /**
     * Opens a folder to be written to; one without records gets a new identity.
     *
     * @param keeper the number of the keeper, which must be the one that it was made for
     * @param identities random numbers
     * @param log told of what was found spoilt, with its place
     * @throws IOException if it cannot be read or written, or is another keeper's
     */
    static KeeperFolder open(Disk disk, int keeper, LongSupplier identities, Consumer<String> log) throws IOException {
        if (!disk.list().contains(FILE)) {
            return begun(disk, keeper, identities, List.of());
        }
        Reading reading = new Reading(disk.read(FILE));
        if (reading.identity != null && reading.keeper != keeper) {
            throw new IOException(FILE + " is of keeper " + reading.keeper + ", and this is keeper " + keeper);
        }
        if (reading.fault != null) {
            // Never deleted: whoever looks for what was chosen may find more in it than this program does.
            String aside = aside(disk);
            log.accept("folder: " + FILE + ", offset " + reading.soundUpTo + ": " + reading.fault
                    + "; it is set aside as " + aside + ", and this keeper begins anew without a vote");
            List<LogRecord> versions = reading.kept.stream()
                    .filter(kept -> !(kept instanceof LogRecord.Voted))
                    .toList();
            disk.rename(FILE, aside);
            return begun(disk, keeper, identities, versions);
        }
        if (reading.torn > 0) {
            log.accept("folder: " + FILE + ", offset " + reading.soundUpTo + ": " + reading.torn
                    + " bytes of a record that was not written to its end are cut off");
        }
        KeeperFolder folder = new KeeperFolder(disk, keeper, reading.identity, reading.kept);
        folder.out = disk.append(FILE, reading.soundUpTo);
        folder.length = reading.soundUpTo;
        folder.sync();
        return folder;
    }

    private static KeeperFolder begun(Disk disk, int keeper, LongSupplier identities, List<LogRecord> versions)
            throws IOException {
        String identity = String.format("%016x", identities.getAsLong());
        KeeperFolder folder = new KeeperFolder(disk, keeper, identity, versions);
        folder.renew(versions);
        return folder;
    }

    private static String aside(Disk disk) throws IOException {
        List<String> names = disk.list();
        int number = 1;
        while (names.contains(FILE + ".spoilt-" + number)) {
            number++;
        }
        return FILE + ".spoilt-" + number;
    }

    /** Drawn when it was made; 16 hex digits. */
    String identity() {
        return identity;
    }

    /** What was found in it, in order. */
    List<LogRecord> found() {
        return found;
    }

    /** Writes records behind all others; they are safe once {@link #sync} has returned. */
    void write(List<LogRecord> records) throws IOException {
        ByteArrayOutputStream lines = new ByteArrayOutputStream();
        records.forEach(record -> lines.writeBytes(line(RolloutText.write(record))));
        out.write(lines.toByteArray());
        length += lines.size();
    }

    /** Waits until all that was written is safe. */
    void sync() throws IOException {
        out.sync();
    }

    /** Whether it is time to {@link #renew}. */
    boolean isLong() {
        return length > MOST_BYTES;
    }

    /**
     * Puts records in the place of all that were written; they are safe then. At any crash one of both is
     * there.
     */
    void renew(List<LogRecord> records) throws IOException {
        if (disk.list().contains(NEW)) {
            disk.delete(NEW);
        }
        Disk.OutputFile before = out;
        out = disk.create(NEW);
        byte[] head = line(("{\"form\":\"" + FORM + "\",\"version\":" + VERSION + ",\"keeper\":" + keeper
                        + ",\"identity\":\"" + identity + "\"}")
                .getBytes(StandardCharsets.UTF_8));
        out.write(head);
        length = head.length;
        write(records);
        sync();
        disk.rename(NEW, FILE);
        disk.syncDirectory();
        if (before != null) {
            before.close();
        }
    }

    void close() throws IOException {
        out.close();
    }

    private static byte[] line(byte[] record) {
        byte[] check = checksum(record, 0, record.length).getBytes(StandardCharsets.US_ASCII);
        byte[] line = Arrays.copyOf(check, CHECKSUM + 1 + record.length + 1);
        line[CHECKSUM] = ' ';
        System.arraycopy(record, 0, line, CHECKSUM + 1, record.length);
        line[line.length - 1] = '\n';
        return line;
    }

    private static String checksum(byte[] bytes, int from, int to) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, to - from);
        return String.format("%08x", crc.getValue());
    }

    /** What a file says, up to the first place at which it is not as it was written. */
    private static final class Reading {
        final List<LogRecord> kept = new ArrayList<>();
        int keeper;
        /** Null where the first line says none. */
        String identity;
        /** Bytes up to the end of the last record that is sound. */
        int soundUpTo;
        /** Bytes of a last line that has no end. */
        int torn;
        /** Why the line at {@link #soundUpTo} is none, or null. */
        String fault;

        Reading(byte[] file) {
            while (soundUpTo < file.length && fault == null) {
                int end = soundUpTo;
                while (end < file.length && file[end] != '\n') {
                    end++;
                }
                if (end == file.length && identity != null) {
                    torn = end - soundUpTo;
                    return;
                }
                fault = line(file, soundUpTo, end);
                soundUpTo = fault == null ? end + 1 : soundUpTo;
            }
            fault = fault == null && identity == null ? "has no first line" : fault;
        }

        /** Takes a line in; null, or why it is none. */
        private String line(byte[] file, int from, int end) {
            int text = from + CHECKSUM + 1;
            if (text > end
                    || end == file.length
                    || file[text - 1] != ' '
                    || !checksum(file, text, end).equals(new String(file, from, CHECKSUM, StandardCharsets.US_ASCII))) {
                return (end - from) + " bytes are no record: their checksum differs";
            }
            byte[] record = Arrays.copyOfRange(file, text, end);
            if (identity == null) {
                return head(record);
            }
            RolloutText.ParseResult<LogRecord> read = RolloutText.readLogRecord(record);
            if (!read.errors().isEmpty()) {
                return "this program cannot read the record: " + read.errors().get(0);
            }
            kept.add(read.value());
            return null;
        }

        private String head(byte[] record) {
            try {
                Json head = Json.read(record);
                if (!head.path("form").asText().equals(FORM)
                        || head.path("version").asLong(0) != VERSION
                        || head.path("identity").asText().isEmpty()) {
                    return "is no first line of " + FORM + ", version " + VERSION;
                }
                keeper = (int) head.path("keeper").asLong(-1);
                identity = head.path("identity").asText();
                return null;
            } catch (IOException e) {
                return "the first line is not JSON: " + e.getMessage();
            }
        }
    }
}
