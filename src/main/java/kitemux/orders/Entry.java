package kitemux.orders;

import java.util.List;

/**
 * One entry of the order journal. Each entry records one event in the life of a request. Times are Unix time
 * in microseconds by the node's clock, which may have been set back between two starts: the order of the
 * entries tells what happened first, not their times.
 */
public sealed interface Entry {
    /** The request's number in this journal; numbers are assigned consecutively as requests are accepted. */
    long number();

    /** When the event happened, as Unix time in microseconds. */
    long atUs();

    /**
     * A request was received completely.
     *
     * @param orderId the client's id for the request
     * @param requestClass the name of the request's class
     * @param tenant the tenant's name; empty if the request has none that the settings name
     * @param key the last segment of the request's path; empty if there is none
     * @param idempotencyKey the client's idempotency key for the effect; empty if it sent none
     * @param bodyBytes the length of the request body
     * @param digest the SHA-256 digest of the request body
     */
    record Accepted(
            long number,
            long atUs,
            String orderId,
            String requestClass,
            String tenant,
            String key,
            String idempotencyKey,
            int bodyBytes,
            Digest digest)
            implements Entry {}

    /**
     * An attempt is about to be sent. No byte of it is written to a server before this entry is durable.
     *
     * @param attempt the attempt's index among those of the request, from 0
     * @param server the server's uid
     * @param endpoint the server's address by service discovery; empty if it is not known
     * @param deadlineUs when the attempt times out
     */
    record Intent(long number, long atUs, int attempt, String server, String endpoint, long deadlineUs)
            implements Entry {}

    /**
     * An attempt has ended.
     *
     * @param attempt the attempt's index among those of the request, from 0
     * @param mayHaveRun whether it cannot be excluded that the server ran the request
     */
    record Ended(long number, long atUs, int attempt, Result result, boolean mayHaveRun) implements Entry {}

    /** The client has received its final answer, or has left before one. */
    record Answered(long number, long atUs, Answer answer) implements Entry {}

    /**
     * The request was still open when the node that accepted it ended. The start that finds it writes this
     * entry once.
     */
    record LeftOpen(long number, long atUs) implements Entry {}

    /**
     * The requests that were open when the previous segment ended. Each segment begins with a checkpoint, so
     * that a start needs to read the last segment only. A checkpoint that does not fit into one entry is
     * continued in the next.
     *
     * @param number the number of the next request to be accepted
     * @param open the numbers of the requests that have no answer yet or have attempts in flight
     * @param last whether this is the last entry of the checkpoint
     */
    record Checkpoint(long number, long atUs, List<Long> open, boolean last) implements Entry {
        /** Limits the open requests in one entry, so that the entry stays below the payload limit. */
        static final int MAX_OPEN_COUNT = 4_000;

        /** Copies the list of open requests. */
        public Checkpoint {
            open = List.copyOf(open);
        }
    }

    /** The result of an attempt. The codes are part of the file format and never change their meaning. */
    enum Result {
        /** The server served the request. */
        OK(1),
        /** The server answered with an error. */
        ERROR(2),
        /** The server rejected the request because it was full. */
        FULL(3),
        /** No answer arrived before the deadline. */
        TIMEOUT(4),
        /** The connection could not be established. */
        CONNECT_FAILED(5),
        /** The connection broke. */
        RESET(6),
        /** The attempt was cancelled. */
        CANCELLED(7),
        /** The attempt was never sent. */
        MOOT(8);

        private final int code;

        Result(int code) {
            this.code = code;
        }

        int code() {
            return code;
        }
    }

    /** The answer to a client. The codes are part of the file format and never change their meaning. */
    enum Answer {
        /** The client received a server's 200 response. */
        SERVED(1),
        /** The request was refused; a retry is harmless. */
        REFUSED(2),
        /** The request failed and may have run. */
        FAILED(3),
        /** The request failed because of an internal error of this node. */
        BROKEN(4),
        /** The client had disconnected and received no answer. */
        LEFT(5);

        private final int code;

        Answer(int code) {
            this.code = code;
        }

        int code() {
            return code;
        }
    }
}
