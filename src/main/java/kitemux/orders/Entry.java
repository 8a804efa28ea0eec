package kitemux.orders;

import java.util.List;

/**
 * What a journal says of one request, piece by piece. Times are Unix time in microseconds by the node's
 * clock, which may have been set back between two starts: the order of records tells what came first, not
 * their times.
 */
public sealed interface Entry {
    /** The request's number in this journal: one more than the last that was taken. */
    long number();

    /** When it was so. */
    long atUs();

    /**
     * A request has come whole.
     *
     * @param orderId the client's id for it
     * @param requestClass its class by name
     * @param tenant by name; empty if it has none that the settings know
     * @param key the last part of its path; empty if there is none
     * @param idempotencyKey the client's own key for the effect; empty if it gave none
     * @param bodyBytes length of its body
     * @param digest SHA-256 of its body, {@link #DIGEST} bytes
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
     * An attempt is about to be sent. Nothing of it is written to a server before this is durable.
     *
     * @param attempt its number among the request's, from 0
     * @param server the server's uid
     * @param endpoint the address that discovery gave for it; empty if that is not known
     * @param deadlineUs when the attempt is given up
     */
    record Intent(long number, long atUs, int attempt, String server, String endpoint, long deadlineUs) implements Entry {}

    /** How an attempt ended; where it may have run nobody can say that it did not. */
    record Ended(long number, long atUs, int attempt, Result result, boolean mayHaveRun) implements Entry {}

    /** The client has its final answer. */
    record Answered(long number, long atUs, Answer answer) implements Entry {}

    /** Was open when the node that took it was gone; said once, by the start that found it. */
    record LeftOpen(long number, long atUs) implements Entry {}

    /**
     * Stands first in each segment: what was open as the one before was ended, so that a start need read the
     * last segment only. One that does not fit into an entry goes on in the next.
     *
     * @param number the number that the next request taken has
     * @param open the numbers of those that are owed an answer or have attempts out
     * @param last whether it does not go on
     */
    record Checkpoint(long number, long atUs, List<Long> open, boolean last) implements Entry {
        /** So many fit into an entry. */
        static final int MAX_OPEN_COUNT = 4_000;

        /** Keeps a copy. */
        public Checkpoint {
            open = List.copyOf(open);
        }
    }

    /** How an attempt can end; the codes are the file's and never change their meaning. */
    enum Result {
        /** Served. */
        OK(1),
        /** The server answered with an error. */
        ERROR(2),
        /** Turned away by the server. */
        FULL(3),
        /** Nothing came in time. */
        TIMEOUT(4),
        /** No connection. */
        CONNECT_FAILED(5),
        /** The connection broke. */
        RESET(6),
        /** Called off. */
        CANCELLED(7),
        /** Never sent. */
        MOOT(8);

        private final int code;

        Result(int code) {
            this.code = code;
        }

        int code() {
            return code;
        }
    }

    /** What a client was told; the codes are the file's and never change their meaning. */
    enum Answer {
        /** A server's 200. */
        SERVED(1),
        /** Refused: trying again is harmless. */
        REFUSED(2),
        /** Failed: it may have run. */
        FAILED(3),
        /** This program failed at it. */
        BROKEN(4),
        /** The client had left; it was told nothing. */
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
