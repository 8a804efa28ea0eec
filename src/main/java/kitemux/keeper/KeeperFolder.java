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
    static final String RECORDS_FILE = "records";
    /** A file that is longer is written anew; whole and history have 7 MB at most. */
    static final long MAX_FILE_BYTES = 16 << 20;

    private static final String NEW_FILE = RECORDS_FILE + ".new";
    private static final String FORMAT_NAME = "kitemux keeper";
    private static final int FORMAT_VERSION = 1;
    private static final int CHECKSUM_BYTES = 8;

    private final Disk disk;
    private final int keeper;
    private final String identity;
    private final List<LogRecord> recoveredRecords;
    private Disk.OutputFile output;
    private long fileBytes;

    private KeeperFolder(Disk disk, int keeper, String identity, List<LogRecord> recoveredRecords) {
        this.disk = disk;
        this.keeper = keeper;
        this.identity = identity;
        this.recoveredRecords = List.copyOf(recoveredRecords);
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
        if (!disk.list().contains(RECORDS_FILE)) {
            return createNew(disk, keeper, identities, List.of());
        }
        FileContents contents = new FileContents(disk.read(RECORDS_FILE));
        if (contents.identity != null && contents.keeper != keeper) {
            throw new IOException(RECORDS_FILE + " is of keeper " + contents.keeper + ", and this is keeper " + keeper);
        }
        if (contents.error != null) {
            // Never deleted: whoever looks for what was chosen may find more in it than this program does.
            String spoiltName = unusedSpoiltName(disk);
            log.accept("folder: " + RECORDS_FILE + ", offset " + contents.validBytes + ": " + contents.error
                    + "; it is set aside as " + spoiltName + ", and this keeper begins anew without a vote");
            List<LogRecord> versions = contents.records.stream()
                    .filter(entry -> !(entry instanceof LogRecord.Voted))
                    .toList();
            disk.rename(RECORDS_FILE, spoiltName);
            return createNew(disk, keeper, identities, versions);
        }
        if (contents.tornBytes > 0) {
            log.accept("folder: " + RECORDS_FILE + ", offset " + contents.validBytes + ": " + contents.tornBytes
                    + " bytes of a record that was not written to its end are cut off");
        }
        KeeperFolder folder = new KeeperFolder(disk, keeper, contents.identity, contents.records);
        folder.output = disk.append(RECORDS_FILE, contents.validBytes);
        folder.fileBytes = contents.validBytes;
        folder.sync();
        return folder;
    }

    private static KeeperFolder createNew(Disk disk, int keeper, LongSupplier identities, List<LogRecord> versions)
            throws IOException {
        String identity = String.format("%016x", identities.getAsLong());
        KeeperFolder folder = new KeeperFolder(disk, keeper, identity, versions);
        folder.rewrite(versions);
        return folder;
    }

    private static String unusedSpoiltName(Disk disk) throws IOException {
        List<String> names = disk.list();
        int number = 1;
        while (names.contains(RECORDS_FILE + ".spoilt-" + number)) {
            number++;
        }
        return RECORDS_FILE + ".spoilt-" + number;
    }

    /** Drawn when it was made; 16 hex digits. */
    String identity() {
        return identity;
    }

    /** What was found in it, in order. */
    List<LogRecord> recoveredRecords() {
        return recoveredRecords;
    }

    /** Writes records behind all others; they are safe once {@link #sync} has returned. */
    void append(List<LogRecord> records) throws IOException {
        ByteArrayOutputStream lines = new ByteArrayOutputStream();
        records.forEach(record -> lines.writeBytes(encodeLine(RolloutText.write(record))));
        output.write(lines.toByteArray());
        fileBytes += lines.size();
    }

    /** Waits until all that was written is safe. */
    void sync() throws IOException {
        output.sync();
    }

    /** Whether it is time to {@link #rewrite}. */
    boolean isOversized() {
        return fileBytes > MAX_FILE_BYTES;
    }

    /**
     * Puts records in the place of all that were written; they are safe then. At any crash one of both is
     * there.
     */
    void rewrite(List<LogRecord> records) throws IOException {
        if (disk.list().contains(NEW_FILE)) {
            disk.delete(NEW_FILE);
        }
        Disk.OutputFile previousOutput = output;
        output = disk.create(NEW_FILE);
        byte[] header = encodeLine(("{\"form\":\"" + FORMAT_NAME + "\",\"version\":" + FORMAT_VERSION + ",\"keeper\":"
                        + keeper + ",\"identity\":\"" + identity + "\"}")
                .getBytes(StandardCharsets.UTF_8));
        output.write(header);
        fileBytes = header.length;
        append(records);
        sync();
        disk.rename(NEW_FILE, RECORDS_FILE);
        disk.syncDirectory();
        if (previousOutput != null) {
            previousOutput.close();
        }
    }

    void close() throws IOException {
        output.close();
    }

    private static byte[] encodeLine(byte[] record) {
        byte[] checksum = checksum(record, 0, record.length).getBytes(StandardCharsets.US_ASCII);
        byte[] line = Arrays.copyOf(checksum, CHECKSUM_BYTES + 1 + record.length + 1);
        line[CHECKSUM_BYTES] = ' ';
        System.arraycopy(record, 0, line, CHECKSUM_BYTES + 1, record.length);
        line[line.length - 1] = '\n';
        return line;
    }

    private static String checksum(byte[] bytes, int from, int to) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, to - from);
        return String.format("%08x", crc.getValue());
    }

    /** What a file says, up to the first place at which it is not as it was written. */
    private static final class FileContents {
        final List<LogRecord> records = new ArrayList<>();
        int keeper;
        /** Null where the first line says none. */
        String identity;
        /** Bytes up to the end of the last record that is sound. */
        int validBytes;
        /** Bytes of a last line that has no end. */
        int tornBytes;
        /** Why the line at {@link #validBytes} is none, or null. */
        String error;

        FileContents(byte[] file) {
            while (validBytes < file.length && error == null) {
                int end = validBytes;
                while (end < file.length && file[end] != '\n') {
                    end++;
                }
                if (end == file.length && identity != null) {
                    tornBytes = end - validBytes;
                    return;
                }
                error = readLine(file, validBytes, end);
                validBytes = error == null ? end + 1 : validBytes;
            }
            error = error == null && identity == null ? "has no first line" : error;
        }

        /** Takes a line in; null, or why it is none. */
        private String readLine(byte[] file, int from, int end) {
            int textStart = from + CHECKSUM_BYTES + 1;
            if (textStart > end
                    || end == file.length
                    || file[textStart - 1] != ' '
                    || !checksum(file, textStart, end)
                            .equals(new String(file, from, CHECKSUM_BYTES, StandardCharsets.US_ASCII))) {
                return (end - from) + " bytes are no record: their checksum differs";
            }
            byte[] record = Arrays.copyOfRange(file, textStart, end);
            if (identity == null) {
                return readHeader(record);
            }
            RolloutText.ParseResult<LogRecord> parsed = RolloutText.readLogRecord(record);
            if (!parsed.errors().isEmpty()) {
                return "this program cannot read the record: " + parsed.errors().get(0);
            }
            records.add(parsed.value());
            return null;
        }

        private String readHeader(byte[] record) {
            try {
                Json header = Json.read(record);
                if (!header.path("form").text().equals(FORMAT_NAME)
                        || header.path("version").whole(0) != FORMAT_VERSION
                        || header.path("identity").text().isEmpty()) {
                    return "is no first line of " + FORMAT_NAME + ", version " + FORMAT_VERSION;
                }
                keeper = (int) header.path("keeper").whole(-1);
                identity = header.path("identity").text();
                return null;
            } catch (IOException e) {
                return "the first line is not JSON: " + e.getMessage();
            }
        }
    }
}
