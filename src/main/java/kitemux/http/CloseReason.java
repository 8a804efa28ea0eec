package kitemux.http;

/** The reason for which a client connection was closed. */
public enum CloseReason {
    /** The client closed or reset the connection. */
    BY_CLIENT,
    /** The final response, which announced the close, has been written. */
    LAST_ANSWER,
    /** The connection's file descriptor was needed for another connection. */
    NO_ROOM,
    /** The connection carried no request within the idle timeout. */
    IDLE,
    /** The client did not read a response in time. */
    ANSWER_NOT_TAKEN,
    /** Writing a response failed. */
    WRITE_FAILED,
    /** A response that had been started could not be completed. */
    ANSWER_BROKEN_OFF,
    /** The node drains its clients and the connection was idle. */
    SENT_AWAY,
    /** The process is shutting down and the connection was idle. */
    SHUTDOWN,
    /** The system reported an error of the connection: a reset by the client, or its own end of the connection. */
    NETWORK_ERROR,
    /** An unexpected exception of this node broke the connection. */
    ERROR,
    /** The node closed all its connections at once. */
    NODE_CLOSED
}
