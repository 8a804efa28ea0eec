package kitemux.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What is still to be passed on: each piece goes along with so many messages, those that were told least
 * often
 * first, beliefs before words. Bounded by nodes, and for words by nodes and topics.
 */
final class GossipQueue {
    /** Topics of one node that are kept; more are not heard. */
    private static final int MOST_TOPICS = 8;

    private final MembershipConfig terms;
    private final Map<Integer, Piece<MemberRecord>> beliefs = new HashMap<>();
    private final Map<Integer, Map<Integer, Kept>> words = new HashMap<>();
    private final List<Piece<Kept>> toTell = new ArrayList<>();
    private long order;

    private static final class Piece<T> {
        private final T of;
        private final long order;
        private int told;

        Piece(T of, long order) {
            this.of = of;
            this.order = order;
        }

        int told() {
            return told;
        }

        long order() {
            return order;
        }
    }

    private record Kept(Update word, long endsUs) {}

    GossipQueue(MembershipConfig terms) {
        this.terms = terms;
    }

    /** To be passed on, in place of what was told of the node before. */
    void told(MemberRecord belief) {
        beliefs.put(belief.node(), new Piece<>(belief, - ++order));
    }

    /** A word has come; whether it is new. */
    boolean hears(Update word, long nowUs) {
        Map<Integer, Kept> of = words.computeIfAbsent(word.origin(), o -> new HashMap<>());
        Kept before = of.get(word.topic());
        if (word.remainingMs() == 0
                || before != null && !word.isNewerThan(before.word)
                || before == null && of.size() >= MOST_TOPICS) {
            return false;
        }
        Kept kept = new Kept(word, nowUs + word.remainingMs() * 1_000L);
        of.put(word.topic(), kept);
        toTell.removeIf(piece -> piece.of.word.origin() == word.origin() && piece.of.word.topic() == word.topic());
        toTell.add(new Piece<>(kept, - ++order));
        return true;
    }

    /** A message with as much of what is to be passed on as it holds, and what its sender says of itself. */
    Message message(Message.Kind kind, MemberRecord me, int number, int about, long nowUs) {
        int room = Datagram.room(terms.maxDatagramBytes()) - Datagram.BELIEF;
        List<MemberRecord> said = new ArrayList<>();
        said.add(me);
        List<Piece<MemberRecord>> next = new ArrayList<>(beliefs.values());
        next.sort(Comparator.<Piece<MemberRecord>>comparingInt(Piece::told).thenComparingLong(Piece::order));
        for (Piece<MemberRecord> piece : next) {
            if (room < Datagram.BELIEF) {
                break;
            }
            if (piece.of.node() != me.node()) {
                room -= Datagram.BELIEF;
                said.add(piece.of);
            }
            if (++piece.told >= terms.tellings()) {
                beliefs.remove(piece.of.node());
            }
        }
        List<Update> words = new ArrayList<>();
        toTell.removeIf(piece -> piece.of.endsUs <= nowUs || piece.told >= terms.tellings());
        toTell.sort(Comparator.<Piece<Kept>>comparingInt(Piece::told).thenComparingLong(Piece::order));
        for (Piece<Kept> piece : toTell) {
            int bytes = Datagram.bytes(piece.of.word);
            if (bytes <= room) {
                room -= bytes;
                piece.told++;
                words.add(piece.of.word.leaving((piece.of.endsUs - nowUs) / 1_000));
            }
        }
        return new Message(kind, me.node(), me.generation(), number, about, said, words);
    }
}
