package kitemux.net;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Cuts what comes on a watch into lists and beats, however it is split and whatever way it is indented: an
 * object ends with its last brace, an empty line between two of them is a beat. What cannot be a list is
 * found as soon as that is certain, and no later than with the next beat: an empty line within an object says
 * that the rest of it is not going to come.
 */
public final class JsonFrameReader {
    /** No list is so long; an object without an end must not fill the memory. */
    public static final int MAX_OBJECT_BYTES = 4 << 20;

    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean inText;
    private boolean escaped;
    /** Whether anything but blanks stands on the line that is read. */
    private boolean lineUsed;

    /** What has come. */
    public enum Frame {
        INCOMPLETE,
        HEARTBEAT,
        OBJECT,
        MALFORMED
    }

    /** Reads up to and with the next thing that is whole; {@link Frame#INCOMPLETE} once all is read. */
    public Frame nextFrame(ByteBuf bytes) {
        while (bytes.isReadable()) {
            Frame what = take(bytes.readByte());
            if (what != Frame.INCOMPLETE) {
                return what;
            }
        }
        return Frame.INCOMPLETE;
    }

    /** The list that was found last, as it came. */
    public byte[] takeObject() {
        byte[] whole = object.toByteArray();
        object.reset();
        return whole;
    }

    /** What is spoilt, as far as it came, for the operators: 40 characters at most. */
    public String malformedText() {
        String text = object.toString(StandardCharsets.US_ASCII);
        return text.length() <= 40 ? text : text.substring(0, 40) + " ...";
    }

    private Frame take(byte b) {
        if (b == '\n') {
            boolean empty = !lineUsed;
            lineUsed = false;
            if (depth == 0) {
                return empty ? Frame.HEARTBEAT : Frame.INCOMPLETE;
            }
            object.write(b);
            return empty || inText ? Frame.MALFORMED : Frame.INCOMPLETE;
        }
        if (b == ' ' || b == '\r' || b == '\t') {
            if (depth > 0) {
                object.write(b);
            }
            return Frame.INCOMPLETE;
        }
        lineUsed = true;
        object.write(b);
        if (depth == 0 && b != '{' || object.size() > MAX_OBJECT_BYTES) {
            return Frame.MALFORMED;
        }
        if (inText) {
            inText = escaped || b != '"';
            escaped = !escaped && b == '\\';
            return Frame.INCOMPLETE;
        }
        switch (b) {
            case '"' -> inText = true;
            case '{', '[' -> depth++;
            case '}', ']' -> depth--;
            default -> {}
        }
        return depth == 0 ? Frame.OBJECT : Frame.INCOMPLETE;
    }
}
