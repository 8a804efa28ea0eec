package kitemux.peers;

import java.util.List;

/**
 * What goes from one node to another in one datagram.
 *
 * @param sender the sender's number
 * @param generation of its process
 * @param sequence by which an answer names what it answers
 * @param target for ASK the node that is to be pinged, else 0
 * @param members what the sender believes of nodes, itself first
 * @param updates what nodes tell all others
 */
public record Message(
        Kind kind,
        int sender,
        long generation,
        int sequence,
        int target,
        List<MemberRecord> members,
        List<Update> updates) {

    /** What it wants. */
    public enum Kind {
        /** Is the receiver there? */
        PING,
        /** It is. */
        ACK,
        /** Ping another node and tell what came of it. */
        PING_REQUEST,
        /** That node has not answered in good time; the one who asked hears at least that. */
        NACK
    }
}
