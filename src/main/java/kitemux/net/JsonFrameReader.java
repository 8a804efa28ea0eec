package kitemux.net;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits a watch stream into JSON objects and heartbeats, independent of how the bytes are split into buffers
 * and how the objects are indented. An object ends with its closing brace; an empty line between objects is a
 * heartbeat. Input that cannot be an object is detected as soon as possible, and with the next heartbeat at the
 * latest: an empty line inside an object means that the rest of the object will not arrive.
 */
public final class JsonFrameReader {
    /** Maximum size of an object; a longer one is rejected so that it cannot exhaust the memory. */
    public static final int MAX_OBJECT_BYTES = 4 << 20;

    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean inString;
    private boolean escaped;
    /** Whether the current line contains anything other than white space. */
    private boolean lineHasContent;

    /** The result of reading from the stream. */
    public enum Frame {
        /** All bytes are read, and the next frame is not complete. */
        INCOMPLETE,
        /** An empty line between objects. */
        HEARTBEAT,
        /** A complete object; see {@link JsonFrameReader#takeObject}. */
        OBJECT,
        /** Input that is not an object; see {@link JsonFrameReader#malformedText}. */
        MALFORMED
    }

    /** Reads up to the end of the next frame; returns {@link Frame#INCOMPLETE} once all bytes are read. */
    public Frame nextFrame(ByteBuf bytes) {
        while (bytes.isReadable()) {
            Frame frame = consume(bytes.readByte());
            if (frame != Frame.INCOMPLETE) {
                return frame;
            }
        }
        return Frame.INCOMPLETE;
    }

    /** Returns the bytes of the last complete object and clears the buffer. */
    public byte[] takeObject() {
        byte[] bytes = object.toByteArray();
        object.reset();
        return bytes;
    }

    /** Returns the malformed input for a log message, shortened to its first 40 characters. */
    public String malformedText() {
        String text = object.toString(StandardCharsets.US_ASCII);
        return text.length() <= 40 ? text : text.substring(0, 40) + " ...";
    }

    private Frame consume(byte b) {
        if (b == '\n') {
            boolean emptyLine = !lineHasContent;
            lineHasContent = false;
            if (depth == 0) {
                return emptyLine ? Frame.HEARTBEAT : Frame.INCOMPLETE;
            }
            object.write(b);
            return emptyLine || inString ? Frame.MALFORMED : Frame.INCOMPLETE;
        }
        if (b == ' ' || b == '\r' || b == '\t') {
            if (depth > 0) {
                object.write(b);
            }
            return Frame.INCOMPLETE;
        }
        lineHasContent = true;
        object.write(b);
        if (depth == 0 && b != '{' || object.size() > MAX_OBJECT_BYTES) {
            return Frame.MALFORMED;
        }
        if (inString) {
            inString = escaped || b != '"';
            escaped = !escaped && b == '\\';
            return Frame.INCOMPLETE;
        }
        switch (b) {
            case '"' -> inString = true;
            case '{', '[' -> depth++;
            case '}', ']' -> depth--;
            default -> {}
        }
        return depth == 0 ? Frame.OBJECT : Frame.INCOMPLETE;
    }
}
