package kitemux.peers;

/**
 * What is believed of a node. Of two beliefs about the same life of a node the higher incarnation holds, and
 * of the same incarnation the one that is named later here.
 */
public enum MemberState {
    /** It answers. */
    ALIVE,
    /** It did not answer somebody, and has time to say that it is there. */
    SUSPECT,
    /** It has been given up; it may come back. */
    GONE,
    /** It said that it leaves; this life of it does not come back. */
    LEFT
}
