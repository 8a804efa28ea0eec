package kitemux.mysql;

import io.netty.buffer.ByteBuf;

/**
 * Knows where the answer to a command stands, payload by payload, and so where it ends ("Command Phase",
 * "Text Resultset", "Binary Protocol Resultset", "COM_STMT_PREPARE Response"). It sees the first byte and the
 * length of each payload, and the whole only of those that it asks for, which are small: rows pass it by,
 * whatever they hold. It does no input or output.
 */
final class ResponseTracker {
    /** What a command's answer looks like. */
    enum ResponseType {
        /** OK or ERR and nothing else. */
        STATUS_ONLY,
        /** OK, ERR or result sets, one after the other. */
        RESULT_SETS,
        /** What is said of a statement that was prepared. */
        PREPARED_STATEMENT
    }

    /** How it ended. */
    enum Completion {
        OK,
        ERROR
    }

    /** Longest payload that is looked at whole: an OK with its session's state, an ERR, a count. */
    static final int MOST_SEEN = 1 << 16;

    private static final int LOCAL_FILE = 0xfb;
    /** An EOF_Packet has five bytes; a row that begins with the same has a field of 16 MiB. */
    private static final int EOF_BOUND = 9;

    private enum State {
        FIRST,
        COLUMNS,
        BEHIND_COLUMNS,
        ROWS,
        PARAMETERS,
        BEHIND_PARAMETERS,
        OVER
    }

    private final ResponseType form;
    private final long capabilities;
    private State state = State.FIRST;
    private long columnsLeft;
    private long parametersLeft;
    private int status;
    private Completion end;
    private ErrPacket error;
    private long statementId = -1;
    private int first;
    private boolean any;

    /** One that waits for the first payload of an answer. */
    ResponseTracker(ResponseType form, long capabilities) {
        this.form = form;
        this.capabilities = capabilities;
    }

    private boolean hasEofs() {
        return !Capabilities.has(capabilities, Capabilities.DEPRECATE_EOF);
    }

    /**
     * A payload begins.
     *
     * @param firstByte its first, or -1 if it has none
     * @param length of the payload; where it is longer than a packet on the wire, any number from there on
     * @return whether it is to be gathered and handed to {@link #seen}; else {@link #passed} is due
     * @throws ProtocolException if none may come here, or none like this
     */
    boolean begins(int firstByte, long length) {
        if (state == State.OVER) {
            throw new ProtocolException(ProtocolException.Kind.MALFORMED, "a packet came behind the end of an answer");
        }
        if (firstByte < 0 && state != State.ROWS) {
            throw new ProtocolException(ProtocolException.Kind.MALFORMED, "an empty packet in an answer");
        }
        first = firstByte;
        return switch (state) {
            case FIRST -> true;
            case COLUMNS, PARAMETERS -> firstByte == ErrPacket.HEADER;
            case BEHIND_COLUMNS, BEHIND_PARAMETERS -> true;
            case ROWS ->
                firstByte == ErrPacket.HEADER
                        || firstByte == OkPacket.END_HEADER && length < (hasEofs() ? EOF_BOUND : OkPacket.END_BOUND);
            case OVER -> throw new IllegalStateException();
        };
    }

    /** A payload that need not be seen has come whole. */
    void passed() {
        any = true;
        if (state == State.COLUMNS && --columnsLeft == 0) {
            if (hasEofs()) {
                state = State.BEHIND_COLUMNS;
            } else {
                behindColumns();
            }
        } else if (state == State.PARAMETERS && --parametersLeft == 0) {
            if (hasEofs()) {
                state = State.BEHIND_PARAMETERS;
            } else {
                columns();
            }
        }
    }

    /**
     * A payload that was to be seen.
     *
     * @param payload whole; read, and not kept
     * @throws ProtocolException if it is not what may stand here
     */
    void seen(ByteBuf payload) {
        any = true;
        if (first == ErrPacket.HEADER) {
            payload.skipBytes(1);
            error = ErrPacket.read(payload);
            over(Completion.ERROR);
            return;
        }
        switch (state) {
            case FIRST -> first(payload);
            case BEHIND_COLUMNS -> {
                eof(payload);
                behindColumns();
            }
            case BEHIND_PARAMETERS -> {
                eof(payload);
                columns();
            }
            case ROWS -> {
                if (hasEofs()) {
                    eof(payload);
                } else {
                    payload.skipBytes(1);
                    status = OkPacket.read(payload, capabilities).status();
                }
                resultEnds();
            }
            default -> throw new IllegalStateException("not asked for: " + state);
        }
    }

    private void first(ByteBuf payload) {
        if (first == OkPacket.HEADER && form == ResponseType.PREPARED_STATEMENT) {
            payload.skipBytes(1);
            statementId = Fields.int4(payload, "the statement's id");
            columnsLeft = Fields.int2(payload, "the number of columns");
            parametersLeft = Fields.int2(payload, "the number of parameters");
            if (parametersLeft > 0) {
                state = State.PARAMETERS;
            } else {
                columns();
            }
        } else if (first == OkPacket.HEADER) {
            payload.skipBytes(1);
            status = OkPacket.read(payload, capabilities).status();
            resultEnds();
        } else if (form != ResponseType.RESULT_SETS || first == LOCAL_FILE) {
            // No file of the client's is ever read for a server.
            throw new ProtocolException(
                    ProtocolException.Kind.MALFORMED, "an answer of this command cannot begin with " + first);
        } else {
            columnsLeft = Fields.lenenc(payload, "the number of columns");
            if (columnsLeft < 1 || columnsLeft > 1 << 16 || payload.isReadable()) {
                throw new ProtocolException(
                        ProtocolException.Kind.MALFORMED, "a result has " + columnsLeft + " columns");
            }
            state = State.COLUMNS;
        }
    }

    /** Of a statement that was prepared; there may be none. */
    private void columns() {
        if (columnsLeft > 0) {
            state = State.COLUMNS;
        } else {
            over(Completion.OK);
        }
    }

    private void behindColumns() {
        if (form == ResponseType.PREPARED_STATEMENT) {
            over(Completion.OK);
        } else {
            state = State.ROWS;
        }
    }

    private void eof(ByteBuf payload) {
        if (first != OkPacket.END_HEADER || payload.readableBytes() >= EOF_BOUND) {
            throw new ProtocolException(ProtocolException.Kind.MALFORMED, "no EOF where one is due");
        }
        payload.skipBytes(1);
        Fields.int2(payload, "the warnings");
        status = Fields.int2(payload, "the status");
    }

    private void resultEnds() {
        if ((status & OkPacket.MORE_RESULTS) != 0 && form == ResponseType.RESULT_SETS) {
            state = State.FIRST;
        } else {
            over(Completion.OK);
        }
    }

    private void over(Completion how) {
        state = State.OVER;
        end = how;
    }

    /** How it ended, or null while it has not. */
    Completion end() {
        return end;
    }

    /** Whether any payload of it has come whole. */
    boolean hasBegun() {
        return any;
    }

    /** The error that it ended with, or null. */
    ErrPacket error() {
        return error;
    }

    /** SERVER_STATUS flags as last told. */
    int status() {
        return status;
    }

    /** The number of the statement that was prepared, or -1. */
    long statementId() {
        return statementId;
    }
}
