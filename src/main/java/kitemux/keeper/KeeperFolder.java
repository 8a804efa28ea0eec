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
 * Storage of a keeper: one file of records, one line each with a leading checksum. The first line is a header that
 * names the keeper. Not thread-safe.
 *
 * <p>A crash may leave the last record as a line without its end. That record was never synced, so no response
 * depends on it, and it is cut off. Any other corruption may hide a promise that was already sent. The folder then
 * starts again with the versions before the corrupt record, without votes and under a new identity, which no set of
 * voters names. That keeper learns versions but does not vote.
 */
final class KeeperFolder {
    /** Name of the records file. */
    static final String RECORDS_FILE = "records";
    /** A larger file is rewritten; snapshot and history take 7 MB at most. */
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
     * Opens a folder for writing; a folder without records gets a new identity.
     *
     * @param keeper number of the keeper, which must be the one in the header
     * @param identities random numbers for new identities
     * @param log receives a line for each corruption found, with its offset
     * @throws IOException if the folder cannot be read or written, or belongs to another keeper
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
            // The file is kept: manual inspection may recover chosen versions that this program cannot read.
            String spoiltName = unusedSpoiltName(disk);
            log.accept("folder: " + RECORDS_FILE + ", offset " + contents.validBytes + ": " + contents.error
                    + "; it is set aside as " + spoiltName + ", and this keeper starts again without a vote");
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

    /** Random identity of this folder, 16 hex digits; drawn when the folder was initialized. */
    String identity() {
        return identity;
    }

    /** Records found when the folder was opened, in order. */
    List<LogRecord> recoveredRecords() {
        return recoveredRecords;
    }

    /** Appends records; they are durable once {@link #sync} has returned. */
    void append(List<LogRecord> records) throws IOException {
        ByteArrayOutputStream lines = new ByteArrayOutputStream();
        records.forEach(record -> lines.writeBytes(encodeLine(RolloutText.write(record))));
        output.write(lines.toByteArray());
        fileBytes += lines.size();
    }

    /** Waits until all appended records are durable. */
    void sync() throws IOException {
        output.sync();
    }

    /** Whether the file is larger than {@link #MAX_FILE_BYTES} and should be rewritten. */
    boolean isOversized() {
        return fileBytes > MAX_FILE_BYTES;
    }

    /**
     * Replaces all records; the new ones are durable on return. After a crash the file holds either the old or the
     * new records.
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

    /** Content of a records file up to the first corrupt line. */
    private static final class FileContents {
        final List<LogRecord> records = new ArrayList<>();
        int keeper;
        /** Null if the header is missing or invalid. */
        String identity;
        /** Number of bytes up to the end of the last valid record. */
        int validBytes;
        /** Number of bytes of a last line without its end. */
        int tornBytes;
        /** Reason why the line at {@link #validBytes} is invalid, or null. */
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
            error = error == null && identity == null ? "has no header line" : error;
        }

        /** Reads one line; returns null, or the reason why the line is invalid. */
        private String readLine(byte[] file, int from, int end) {
            int textStart = from + CHECKSUM_BYTES + 1;
            if (textStart > end
                    || end == file.length
                    || file[textStart - 1] != ' '
                    || !checksum(file, textStart, end)
                            .equals(new String(file, from, CHECKSUM_BYTES, StandardCharsets.US_ASCII))) {
                return (end - from) + " bytes are not a valid record: wrong checksum";
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
                if (!header.path("form").asText().equals(FORMAT_NAME)
                        || header.path("version").asLong(0) != FORMAT_VERSION
                        || header.path("identity").asText().isEmpty()) {
                    return "is not a header line of " + FORMAT_NAME + ", version " + FORMAT_VERSION;
                }
                keeper = (int) header.path("keeper").asLong(-1);
                identity = header.path("identity").asText();
                return null;
            } catch (IOException e) {
                return "the header line is not JSON: " + e.getMessage();
            }
        }
    }
}
