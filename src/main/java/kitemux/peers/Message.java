package kitemux.peers;

import java.util.List;

/**
 * What goes from one node to another in one datagram.
 *
 * @param from the sender's number
 * @param life of its process
 * @param number by which an answer names what it answers
 * @param about for ASK the node that is to be pinged, else 0
 * @param beliefs what the sender believes of nodes, itself first
 * @param words what nodes tell all others
 */
public record Message(Kind kind, int from, long life, int number, int about, List<Belief> beliefs, List<Word> words) {

    /** What it wants. */
    public enum Kind {
        /** Is the receiver there? */
        PING,
        /** It is. */
        ACK,
        /** Ping another node and tell what came of it. */
        ASK,
        /** That node has not answered in good time; the one who asked hears at least that. */
        NACK
    }
}
