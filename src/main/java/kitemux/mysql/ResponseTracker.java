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
    static final int MAX_INSPECTED_BYTES = 1 << 16;

    private static final int LOCAL_INFILE_HEADER = 0xfb;
    /** An EOF_Packet has five bytes; a row that begins with the same has a field of 16 MiB. */
    private static final int EOF_BOUND_BYTES = 9;

    private enum State {
        FIRST,
        COLUMNS,
        COLUMNS_EOF,
        ROWS,
        PARAMETERS,
        PARAMETERS_EOF,
        COMPLETE
    }

    private final ResponseType responseType;
    private final long capabilities;
    private State state = State.FIRST;
    private long remainingColumns;
    private long remainingParameters;
    private int status;
    private Completion completion;
    private ErrPacket error;
    private long statementId = -1;
    private int currentHeader;
    private boolean started;

    /** One that waits for the first payload of an answer. */
    ResponseTracker(ResponseType responseType, long capabilities) {
        this.responseType = responseType;
        this.capabilities = capabilities;
    }

    private boolean usesEofPackets() {
        return !Capabilities.has(capabilities, Capabilities.DEPRECATE_EOF);
    }

    /**
     * A payload begins.
     *
     * @param firstByte its first, or -1 if it has none
     * @param length of the payload; where it is longer than a packet on the wire, any number from there on
     * @return whether it is to be gathered and handed to {@link #inspect}; else {@link #skipPayload} is due
     * @throws ProtocolException if none may come here, or none like this
     */
    boolean beginPayload(int firstByte, long length) {
        if (state == State.COMPLETE) {
            throw new ProtocolException(ProtocolException.Kind.MALFORMED, "a packet came behind the end of an answer");
        }
        if (firstByte < 0 && state != State.ROWS) {
            throw new ProtocolException(ProtocolException.Kind.MALFORMED, "an empty packet in an answer");
        }
        currentHeader = firstByte;
        return switch (state) {
            case FIRST -> true;
            case COLUMNS, PARAMETERS -> firstByte == ErrPacket.HEADER;
            case COLUMNS_EOF, PARAMETERS_EOF -> true;
            case ROWS ->
                firstByte == ErrPacket.HEADER
                        || firstByte == OkPacket.RESULT_END_HEADER
                                && length < (usesEofPackets() ? EOF_BOUND_BYTES : OkPacket.RESULT_END_BOUND_BYTES);
            case COMPLETE -> throw new IllegalStateException();
        };
    }

    /** A payload that need not be seen has come whole. */
    void skipPayload() {
        started = true;
        if (state == State.COLUMNS && --remainingColumns == 0) {
            if (usesEofPackets()) {
                state = State.COLUMNS_EOF;
            } else {
                finishColumns();
            }
        } else if (state == State.PARAMETERS && --remainingParameters == 0) {
            if (usesEofPackets()) {
                state = State.PARAMETERS_EOF;
            } else {
                startColumns();
            }
        }
    }

    /**
     * A payload that was to be seen.
     *
     * @param payload whole; read, and not kept
     * @throws ProtocolException if it is not what may stand here
     */
    void inspect(ByteBuf payload) {
        started = true;
        if (currentHeader == ErrPacket.HEADER) {
            payload.skipBytes(1);
            error = ErrPacket.read(payload);
            complete(Completion.ERROR);
            return;
        }
        switch (state) {
            case FIRST -> inspectFirst(payload);
            case COLUMNS_EOF -> {
                readEof(payload);
                finishColumns();
            }
            case PARAMETERS_EOF -> {
                readEof(payload);
                startColumns();
            }
            case ROWS -> {
                if (usesEofPackets()) {
                    readEof(payload);
                } else {
                    payload.skipBytes(1);
                    status = OkPacket.read(payload, capabilities).status();
                }
                finishResult();
            }
            default -> throw new IllegalStateException("not asked for: " + state);
        }
    }

    private void inspectFirst(ByteBuf payload) {
        if (currentHeader == OkPacket.HEADER && responseType == ResponseType.PREPARED_STATEMENT) {
            payload.skipBytes(1);
            statementId = Fields.int4(payload, "the statement's id");
            remainingColumns = Fields.int2(payload, "the number of columns");
            remainingParameters = Fields.int2(payload, "the number of parameters");
            if (remainingParameters > 0) {
                state = State.PARAMETERS;
            } else {
                startColumns();
            }
        } else if (currentHeader == OkPacket.HEADER) {
            payload.skipBytes(1);
            status = OkPacket.read(payload, capabilities).status();
            finishResult();
        } else if (responseType != ResponseType.RESULT_SETS || currentHeader == LOCAL_INFILE_HEADER) {
            // No file of the client's is ever read for a server.
            throw new ProtocolException(
                    ProtocolException.Kind.MALFORMED, "an answer of this command cannot begin with " + currentHeader);
        } else {
            remainingColumns = Fields.lenenc(payload, "the number of columns");
            if (remainingColumns < 1 || remainingColumns > 1 << 16 || payload.isReadable()) {
                throw new ProtocolException(
                        ProtocolException.Kind.MALFORMED, "a result has " + remainingColumns + " columns");
            }
            state = State.COLUMNS;
        }
    }

    /** Of a statement that was prepared; there may be none. */
    private void startColumns() {
        if (remainingColumns > 0) {
            state = State.COLUMNS;
        } else {
            complete(Completion.OK);
        }
    }

    private void finishColumns() {
        if (responseType == ResponseType.PREPARED_STATEMENT) {
            complete(Completion.OK);
        } else {
            state = State.ROWS;
        }
    }

    private void readEof(ByteBuf payload) {
        if (currentHeader != OkPacket.RESULT_END_HEADER || payload.readableBytes() >= EOF_BOUND_BYTES) {
            throw new ProtocolException(ProtocolException.Kind.MALFORMED, "no EOF where one is due");
        }
        payload.skipBytes(1);
        Fields.int2(payload, "the warnings");
        status = Fields.int2(payload, "the status");
    }

    private void finishResult() {
        if ((status & OkPacket.MORE_RESULTS) != 0 && responseType == ResponseType.RESULT_SETS) {
            state = State.FIRST;
        } else {
            complete(Completion.OK);
        }
    }

    private void complete(Completion result) {
        state = State.COMPLETE;
        completion = result;
    }

    /** How it ended, or null while it has not. */
    Completion completion() {
        return completion;
    }

    /** Whether any payload of it has come whole. */
    boolean hasStarted() {
        return started;
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
