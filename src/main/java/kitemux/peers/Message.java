package kitemux.peers;

import java.util.List;

/**
 * A message that one node sends to another in one datagram.
 *
 * @param kind what the message asks for or answers
 * @param sender number of the sending node
 * @param generation of the sender's process, in milliseconds of Unix time
 * @param sequence number by which an answer refers to its request
 * @param target for {@link Kind#PING_REQUEST} the node to be pinged, otherwise 0
 * @param members records of nodes that are gossiped along, the sender's own first
 * @param updates application messages that are gossiped along
 */
public record Message(
        Kind kind,
        int sender,
        long generation,
        int sequence,
        int target,
        List<MemberRecord> members,
        List<Update> updates) {

    /** Purpose of a message. The ordinals are sent, so the order must stay. */
    public enum Kind {
        /** Asks whether the receiver is alive. */
        PING,
        /** Answers a {@link #PING}, or a {@link #PING_REQUEST} whose target has answered. */
        ACK,
        /** Asks the receiver to ping the target and to report the result. */
        PING_REQUEST,
        /**
         * Reports that the target of a {@link #PING_REQUEST} did not answer in time, which shows the requester
         * that it can still be reached. Also carries gossip that answers no request, with sequence 0.
         */
        NACK
    }
}
