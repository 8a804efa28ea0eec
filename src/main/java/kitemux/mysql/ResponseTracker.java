package kitemux.mysql;

import io.netty.buffer.ByteBuf;

/**
 * Tracks the response to a command payload by payload and detects its end ("Command Phase", "Text Resultset",
 * "Binary Protocol Resultset", "COM_STMT_PREPARE Response"). It gets the first byte and the length of each
 * payload, and the whole content only of the small ones that it requests; rows are skipped, whatever they
 * contain. It performs no I/O.
 */
final class ResponseTracker {
    /** Structure of the response to a command. */
    enum ResponseType {
        /** A single OK or ERR. */
        STATUS_ONLY,
        /** OK, ERR or result sets, one after another. */
        RESULT_SETS,
        /** The response to COM_STMT_PREPARE. */
        PREPARED_STATEMENT
    }

    /** How a response ended. */
    enum Completion {
        OK,
        ERROR
    }

    /** Longest payload that is inspected: an OK with session state, an ERR or a column count. */
    static final int MAX_INSPECTED_BYTES = 1 << 16;

    private static final int LOCAL_INFILE_HEADER = 0xfb;
    /**
     * Payloads with the EOF header that are shorter than this are EOF packets, which have five bytes; a row
     * that begins with the same byte has a field of at least 16 MiB.
     */
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

    /**
     * Creates a tracker that expects the first payload of a response.
     *
     * @param responseType structure of the response
     * @param capabilities flags that both sides share
     */
    ResponseTracker(ResponseType responseType, long capabilities) {
        this.responseType = responseType;
        this.capabilities = capabilities;
    }

    private boolean usesEofPackets() {
        return !Capabilities.has(capabilities, Capabilities.DEPRECATE_EOF);
    }

    /**
     * Handles the beginning of a payload.
     *
     * @param firstByte its first byte, or -1 if it is empty
     * @param length of the payload in bytes; for one that spans several packets any number from the length of
     *     its first packet on
     * @return whether the payload is to be assembled and passed to {@link #inspect}; otherwise {@link
     *     #skipPayload} is to be called once it is over
     * @throws ProtocolException if no payload, or none of this kind, is allowed here
     */
    boolean beginPayload(int firstByte, long length) {
        if (state == State.COMPLETE) {
            throw new ProtocolException(ProtocolException.Kind.MALFORMED, "packet after the end of a response");
        }
        if (firstByte < 0 && state != State.ROWS) {
            throw new ProtocolException(ProtocolException.Kind.MALFORMED, "empty packet in a response");
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

    /** Handles the end of a payload that is not inspected. */
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
     * Handles a payload that {@link #beginPayload} requested.
     *
     * @param payload the whole payload; read, not retained
     * @throws ProtocolException if it is invalid here
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
            // LOCAL INFILE is refused: no file of a client is ever read for a server.
            throw new ProtocolException(
                    ProtocolException.Kind.MALFORMED,
                    "response to this command cannot begin with byte " + currentHeader);
        } else {
            remainingColumns = Fields.lenenc(payload, "the number of columns");
            if (remainingColumns < 1 || remainingColumns > 1 << 16 || payload.isReadable()) {
                throw new ProtocolException(
                        ProtocolException.Kind.MALFORMED,
                        "invalid result set: column count " + remainingColumns + " or trailing bytes");
            }
            state = State.COLUMNS;
        }
    }

    /** Begins the columns of a prepared statement, which may have none. */
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
            throw new ProtocolException(ProtocolException.Kind.MALFORMED, "expected an EOF packet");
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

    /** How the response ended, or null if it has not ended yet. */
    Completion completion() {
        return completion;
    }

    /** Whether any payload of the response has been received whole. */
    boolean hasStarted() {
        return started;
    }

    /** The error that ended the response, or null. */
    ErrPacket error() {
        return error;
    }

    /** SERVER_STATUS flags as last received. */
    int status() {
        return status;
    }

    /** Identifier of the prepared statement, or -1. */
    long statementId() {
        return statementId;
    }
}
