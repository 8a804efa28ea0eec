package kitemux.engine;

/**
 * How the connection of an attempt was lost after its request had been written.
 *
 * @param cause who ended it, and why
 * @param responseBytes bytes of the response's body that had been read by then
 * @param detail what the system reported, or an empty string
 */
public record ConnectionLoss(Cause cause, long responseBytes, String detail) {

    /** Who ended a connection, and why. */
    public enum Cause {
        /** The node ended it: nothing had come from the server for the longest pause that is allowed. */
        SERVER_SILENT,
        /** The node ended it: the response came more slowly than any server sends. */
        SERVER_TOO_SLOW,
        /** The node ended it: the response had lasted for the longest time that is allowed. */
        RESPONSE_TOO_LONG,
        /** The node ended it: what came was no response, or one that is too large. */
        RESPONSE_MALFORMED,
        /** The server closed its side in the regular way before the response was complete. */
        ENDED_BY_SERVER,
        /** The system reported an error: a reset by the server, or its own end of the connection. */
        NETWORK_ERROR
    }
}
