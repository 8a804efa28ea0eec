package kitemux.http;

/** Why a client's connection was closed. */
public enum CloseReason {
    /** The client closed or reset it. */
    BY_CLIENT,
    /** Its last answer, which said so, has been written. */
    LAST_ANSWER,
    /** Another connection needed its descriptor. */
    NO_ROOM,
    /** It carried no request for too long. */
    IDLE,
    /** Its client did not take an answer in time. */
    ANSWER_NOT_TAKEN,
    /** An answer could not be written. */
    WRITE_FAILED,
    /** An answer that had begun could not be finished. */
    ANSWER_BROKEN_OFF,
    /** Clients are being sent away and it was unused. */
    SENT_AWAY,
    /** The process shuts down and it was unused. */
    SHUTDOWN,
    /** The network or a defect broke it. */
    ERROR,
    /** The node let go of everything at once. */
    NODE_CLOSED
}
