package kitemux.peers;

/**
 * State of a node as seen by another one. Of two records of the same generation of a node the higher
 * incarnation takes precedence; at the same incarnation the state that is declared later here does. The
 * ordinals are sent, so the order must stay.
 */
public enum MemberState {
    /** The node answers probes. */
    ALIVE,
    /** A probe of the node failed; it has until the suspicion timeout to refute the suspicion. */
    SUSPECT,
    /** The suspicion timeout expired; the node may come back. */
    GONE,
    /** The node announced that it leaves; this generation of it does not come back. */
    LEFT
}
