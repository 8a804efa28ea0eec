package kitemux.members;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import kitemux.config.Json;

/**
 * State that a process saves for the next process of the same application: the known servers and their health. The
 * encoded form is a header line with format name, version and checksum, followed by one line of JSON. Its size is
 * bounded, and a larger input is rejected.
 *
 * @param app name of the application; a snapshot of another application is rejected
 * @param savedUs Unix time in microseconds, as are all times in a snapshot
 * @param members the known servers with their health
 */
public record MembershipSnapshot(String app, long savedUs, List<MemberRecord> members) {
    private static final String FORMAT_NAME = "kitemux members";
    private static final int FORMAT_VERSION = 1;
    private static final int MAX_SNAPSHOT_BYTES = 8 << 20;
    private static final JsonFactory JSON = new JsonFactory();

    /** A server with its health; see {@link ServerHealth}. */
    public record MemberRecord(Member member, boolean down, int ejectionCount, long changedUs, long startedUs) {}

    /** Thrown if a snapshot cannot be used; the message gives the reason. */
    public static final class InvalidSnapshotException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidSnapshotException(String reason) {
            super(reason);
        }
    }

    /** Encodes this snapshot as the content of a file. */
    public byte[] encode() {
        StringWriter body = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(body)) {
            json.writeStartObject();
            json.writeStringField("app", app);
            json.writeNumberField("savedUs", savedUs);
            json.writeArrayFieldStart("members");
            for (MemberRecord entry : members) {
                json.writeStartObject();
                json.writeStringField("name", entry.member.name());
                json.writeStringField("address", entry.member.address());
                json.writeNumberField("rack", entry.member.rack());
                json.writeBooleanField("draining", entry.member.draining());
                json.writeBooleanField("down", entry.down);
                json.writeNumberField("downs", entry.ejectionCount);
                json.writeNumberField("changedUs", entry.changedUs);
                json.writeNumberField("startedUs", entry.startedUs);
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return (FORMAT_NAME + " " + FORMAT_VERSION + " " + checksum(body.toString()) + "\n" + body + "\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static String checksum(String body) {
        CRC32C crc = new CRC32C();
        crc.update(body.getBytes(StandardCharsets.UTF_8));
        return String.format("%08x", crc.getValue());
    }

    /**
     * Decodes a snapshot that an earlier process saved.
     *
     * @param app name of the application to which the snapshot must belong
     * @throws InvalidSnapshotException if it is damaged or incomplete, or of another version or application
     */
    public static MembershipSnapshot decode(byte[] bytes, String app) throws InvalidSnapshotException {
        if (bytes.length > MAX_SNAPSHOT_BYTES) {
            throw new InvalidSnapshotException(
                    "has " + bytes.length + " bytes; at most " + MAX_SNAPSHOT_BYTES + " are read");
        }
        String text = new String(bytes, StandardCharsets.UTF_8);
        int headerEnd = text.indexOf('\n');
        String[] header =
                headerEnd < 0 ? new String[0] : text.substring(0, headerEnd).split(" ");
        if (header.length != 4 || !FORMAT_NAME.equals(header[0] + " " + header[1])) {
            throw new InvalidSnapshotException("is not a membership snapshot of a sidecar");
        }
        if (!header[2].equals(Integer.toString(FORMAT_VERSION))) {
            throw new InvalidSnapshotException(
                    "is of version " + header[2] + ", and this build reads " + FORMAT_VERSION);
        }
        if (!text.endsWith("\n")
                || text.length() < headerEnd + 2
                || !checksum(text.substring(headerEnd + 1, text.length() - 1)).equals(header[3])) {
            throw new InvalidSnapshotException("is damaged or incomplete");
        }
        try {
            Json json = Json.read(text.substring(headerEnd + 1).getBytes(StandardCharsets.UTF_8));
            if (!json.path("app").asText().equals(app)) {
                throw new InvalidSnapshotException(
                        "is of application \"" + json.path("app").asText() + "\"");
            }
            List<MemberRecord> members = new ArrayList<>();
            for (Json entry : json.path("members")) {
                members.add(new MemberRecord(
                        new Member(
                                entry.path("name").asText(),
                                entry.path("address").asText(),
                                (int) entry.path("rack").asLong(0),
                                entry.path("draining").asBoolean()),
                        entry.path("down").asBoolean(),
                        (int) entry.path("downs").asLong(0),
                        entry.path("changedUs").asLong(0),
                        entry.path("startedUs").asLong(0)));
            }
            return new MembershipSnapshot(app, json.path("savedUs").asLong(0), members);
        } catch (IOException e) {
            throw new InvalidSnapshotException("is not JSON: " + e.getMessage());
        }
    }
}
