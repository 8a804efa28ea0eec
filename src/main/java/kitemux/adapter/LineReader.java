package kitemux.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads the wire protocol line by line. A line is a name followed by {@code key=value} fields, separated by single
 * spaces. Buffers are reused, and strings are created only when a value is read.
 */
final class LineReader {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int filledBytes;

    /** Start of the current line in the buffer. */
    private int start;

    /** End of the current line, exclusive. */
    private int end;

    /** Number of the current line, from 1. */
    private long lineNumber;

    private int nameEnd;
    private int fieldCount;
    private int[] keyStart = new int[16];
    private int[] valueStart = new int[16];
    private int[] valueEnd = new int[16];

    /** Creates a reader of this input; nothing is read yet. */
    LineReader(InputStream in) {
        this.in = in;
    }

    /** Moves to the next line. Returns false at the end of the input. */
    boolean readNext() throws IOException {
        start = lineNumber == 0 ? 0 : end + 1;
        lineNumber++;
        int scan = start;
        while (true) {
            while (scan < filledBytes && buffer[scan] != '\n') {
                scan++;
            }
            if (scan < filledBytes) {
                end = scan;
                split();
                return true;
            }
            if (start > 0) {
                System.arraycopy(buffer, start, buffer, 0, filledBytes - start);
                filledBytes -= start;
                scan -= start;
                start = 0;
            }
            if (filledBytes == buffer.length) {
                buffer = Arrays.copyOf(buffer, 2 * buffer.length);
            }
            int read = in.read(buffer, filledBytes, buffer.length - filledBytes);
            if (read < 0) {
                end = filledBytes;
                if (filledBytes == start) {
                    return false;
                }
                split();
                // The next call must find no further line.
                buffer[end < buffer.length ? end : end - 1] = '\n';
                filledBytes = Math.min(end + 1, buffer.length);
                return true;
            }
            filledBytes += read;
        }
    }

    /** Finds the name and the fields of the current line. */
    private void split() {
        int position = start;
        while (position < end && buffer[position] != ' ') {
            position++;
        }
        nameEnd = position;
        fieldCount = 0;
        while (position < end) {
            int key = position + 1;
            int equals = key;
            while (equals < end && buffer[equals] != '=' && buffer[equals] != ' ') {
                equals++;
            }
            position = equals;
            while (position < end && buffer[position] != ' ') {
                position++;
            }
            if (fieldCount == keyStart.length) {
                keyStart = Arrays.copyOf(keyStart, 2 * fieldCount);
                valueStart = Arrays.copyOf(valueStart, 2 * fieldCount);
                valueEnd = Arrays.copyOf(valueEnd, 2 * fieldCount);
            }
            keyStart[fieldCount] = key;
            valueStart[fieldCount] = Math.min(equals + 1, position);
            valueEnd[fieldCount] = position;
            fieldCount++;
        }
    }

    /** Returns the name of the line. */
    String name() {
        return new String(buffer, start, nameEnd - start, StandardCharsets.UTF_8);
    }

    /** Returns whether the line has this name. */
    boolean hasName(String name) {
        return matches(start, nameEnd, name);
    }

    /** Returns the number of fields. */
    int fieldCount() {
        return fieldCount;
    }

    /** Returns the key of a field by its index. */
    String key(int field) {
        int from = keyStart[field];
        return new String(buffer, from, Math.max(0, valueStart[field] - 1 - from), StandardCharsets.UTF_8);
    }

    /** Returns the value of a field by its index. */
    String value(int field) {
        int from = valueStart[field];
        return new String(buffer, from, valueEnd[field] - from, StandardCharsets.UTF_8);
    }

    private boolean matches(int from, int to, String text) {
        if (to - from != text.length()) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (buffer[from + i] != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the index of the field with this key, or -1. */
    private int findField(String key) {
        for (int i = 0; i < fieldCount; i++) {
            if (valueStart[i] > keyStart[i] && matches(keyStart[i], valueStart[i] - 1, key)) {
                return i;
            }
        }
        return -1;
    }

    private int requireField(String key) throws WireException {
        int field = findField(key);
        if (field < 0) {
            throw malformed(key, "is missing");
        }
        return field;
    }

    /** Returns the text of a field, or null if the line lacks it. */
    String textOrNull(String key) {
        int field = findField(key);
        return field < 0 ? null : value(field);
    }

    /**
     * Returns the text of a field.
     *
     * @throws WireException if the line lacks the field
     */
    String text(String key) throws WireException {
        return value(requireField(key));
    }

    /**
     * Returns the integer in a field.
     *
     * @throws WireException if the line lacks the field, or if its value is not an integer of at most 18 digits
     */
    long integer(String key) throws WireException {
        return integer(key, requireField(key));
    }

    /**
     * Returns the integer in a field, or the default value if the line lacks it.
     *
     * @throws WireException if its value is not an integer of at most 18 digits
     */
    long integer(String key, long defaultValue) throws WireException {
        int field = findField(key);
        return field < 0 ? defaultValue : integer(key, field);
    }

    private long integer(String key, int field) throws WireException {
        int position = valueStart[field];
        int to = valueEnd[field];
        boolean negative = position < to && buffer[position] == '-';
        position += negative ? 1 : 0;
        if (position == to || to - position > 18) {
            throw malformed(key, "is not an integer of at most 18 digits");
        }
        long value = 0;
        for (; position < to; position++) {
            int digit = buffer[position] - '0';
            if (digit < 0 || digit > 9) {
                throw malformed(key, "is not an integer of at most 18 digits");
            }
            value = 10 * value + digit;
        }
        return negative ? -value : value;
    }

    /**
     * Returns whether a field is {@code 1} or {@code true}; false if the line lacks it.
     *
     * @throws WireException if the value is not 0, 1, false or true
     */
    boolean flag(String key) throws WireException {
        int field = findField(key);
        if (field < 0
                || matches(valueStart[field], valueEnd[field], "0")
                || matches(valueStart[field], valueEnd[field], "false")) {
            return false;
        }
        if (matches(valueStart[field], valueEnd[field], "1") || matches(valueStart[field], valueEnd[field], "true")) {
            return true;
        }
        throw malformed(key, "is not 0, 1, false or true: " + value(field));
    }

    /**
     * Returns the number in a field, or the default value if the line lacks it.
     *
     * @throws WireException if the value is not a number
     */
    double decimal(String key, double defaultValue) throws WireException {
        int field = findField(key);
        return field < 0 ? defaultValue : decimal(key, value(field));
    }

    private double decimal(String key, String text) throws WireException {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw malformed(key, "is not a number");
        }
    }

    /**
     * Returns the comma-separated numbers in a field, or null if the field is missing or empty.
     *
     * @throws WireException if a part is not a number
     */
    double[] decimals(String key) throws WireException {
        int field = findField(key);
        if (field < 0 || valueStart[field] == valueEnd[field]) {
            return null;
        }
        String[] parts = value(field).split(",", -1);
        double[] numbers = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            numbers[i] = decimal(key, parts[i]);
        }
        return numbers;
    }

    /**
     * Returns the request id in a field: 16 lower-case hex digits.
     *
     * @throws WireException if the line lacks the field, or if it is no such id
     */
    long requestId(String key) throws WireException {
        int field = requireField(key);
        if (valueEnd[field] - valueStart[field] != 16) {
            throw malformed(key, "is not 16 lower-case hex digits");
        }
        long id = 0;
        for (int position = valueStart[field]; position < valueEnd[field]; position++) {
            int character = buffer[position];
            int digit = character >= '0' && character <= '9'
                    ? character - '0'
                    : character >= 'a' && character <= 'f' ? character - 'a' + 10 : -1;
            if (digit < 0) {
                throw malformed(key, "is not 16 lower-case hex digits");
            }
            id = id << 4 | digit;
        }
        return id;
    }

    /** Creates the exception that reports a field of the current line. */
    WireException malformed(String field, String reason) {
        return new WireException("line " + lineNumber + ": " + name() + ": field " + field + " " + reason);
    }

    /** Creates the exception that reports the current line. */
    WireException malformed(String reason) {
        return new WireException("line " + lineNumber + ": " + reason);
    }
}
