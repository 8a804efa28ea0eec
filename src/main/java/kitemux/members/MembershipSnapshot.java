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
 * What a process leaves for the next one of the same application: which servers it believed in, and what
 * their checks
 * had told. A line that names form, version and checksum, and a line of JSON behind it. Bounded: a larger
 * text is none.
 *
 * @param app of which application; another's is not taken
 * @param savedUs Unix time in microseconds, as all times in it
 */
public record MembershipSnapshot(String app, long savedUs, List<MemberRecord> members) {
    private static final String FORM = "kitemux members";
    private static final int VERSION = 1;
    private static final int MOST_BYTES = 8 << 20;
    private static final JsonFactory JSON = new JsonFactory();

    /** A server and what its checks had told; see {@link Health}. */
    public record MemberRecord(Member member, boolean down, int ejectionCount, long changedUs, long startedUs) {}

    /** A text that is not to be used; the message says why. */
    public static final class InvalidSnapshotException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidSnapshotException(String why) {
            super(why);
        }
    }

    /** The whole text of a file. */
    public byte[] encode() {
        StringWriter body = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(body)) {
            json.writeStartObject();
            json.writeStringField("app", app);
            json.writeNumberField("savedUs", savedUs);
            json.writeArrayFieldStart("members");
            for (MemberRecord one : members) {
                json.writeStartObject();
                json.writeStringField("name", one.member.name());
                json.writeStringField("address", one.member.address());
                json.writeNumberField("rack", one.member.rack());
                json.writeBooleanField("draining", one.member.draining());
                json.writeBooleanField("down", one.down);
                json.writeNumberField("downs", one.ejectionCount);
                json.writeNumberField("changedUs", one.changedUs);
                json.writeNumberField("startedUs", one.startedUs);
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return (FORM + " " + VERSION + " " + checksum(body.toString()) + "\n" + body + "\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static String checksum(String body) {
        CRC32C crc = new CRC32C();
        crc.update(body.getBytes(StandardCharsets.UTF_8));
        return String.format("%08x", crc.getValue());
    }

    /**
     * Reads a text that an earlier process left.
     *
     * @param app whose it must be
     * @throws InvalidSnapshotException if it is not whole, of another version or of another application
     */
    public static MembershipSnapshot decode(byte[] bytes, String app) throws InvalidSnapshotException {
        if (bytes.length > MOST_BYTES) {
            throw new InvalidSnapshotException("has " + bytes.length + " bytes; at most " + MOST_BYTES + " are read");
        }
        String text = new String(bytes, StandardCharsets.UTF_8);
        int end = text.indexOf('\n');
        String[] head = end < 0 ? new String[0] : text.substring(0, end).split(" ");
        if (head.length != 4 || !FORM.equals(head[0] + " " + head[1])) {
            throw new InvalidSnapshotException("is not what a sidecar leaves");
        }
        if (!head[2].equals(Integer.toString(VERSION))) {
            throw new InvalidSnapshotException("is of version " + head[2] + ", and this build reads " + VERSION);
        }
        if (!text.endsWith("\n")
                || text.length() < end + 2
                || !checksum(text.substring(end + 1, text.length() - 1)).equals(head[3])) {
            throw new InvalidSnapshotException("is damaged or not whole");
        }
        try {
            Json json = Json.read(text.substring(end + 1).getBytes(StandardCharsets.UTF_8));
            if (!json.path("app").asText().equals(app)) {
                throw new InvalidSnapshotException(
                        "is of application \"" + json.path("app").asText() + "\"");
            }
            List<MemberRecord> members = new ArrayList<>();
            for (Json one : json.path("members")) {
                members.add(new MemberRecord(
                        new Member(
                                one.path("name").asText(),
                                one.path("address").asText(),
                                (int) one.path("rack").asLong(0),
                                one.path("draining").asBoolean()),
                        one.path("down").asBoolean(),
                        (int) one.path("downs").asLong(0),
                        one.path("changedUs").asLong(0),
                        one.path("startedUs").asLong(0)));
            }
            return new MembershipSnapshot(app, json.path("savedUs").asLong(0), members);
        } catch (IOException e) {
            throw new InvalidSnapshotException("is not JSON: " + e.getMessage());
        }
    }
}
