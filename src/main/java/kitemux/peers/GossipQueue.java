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
    private static final int MAX_TOPIC_COUNT = 8;

    private final MembershipConfig config;
    private final Map<Integer, QueueEntry<MemberRecord>> memberRecords = new HashMap<>();
    private final Map<Integer, Map<Integer, StoredUpdate>> updates = new HashMap<>();
    private final List<QueueEntry<StoredUpdate>> pendingUpdates = new ArrayList<>();
    private long lastOrder;

    private static final class QueueEntry<T> {
        private final T value;
        private final long order;
        private int transmitCount;

        QueueEntry(T value, long order) {
            this.value = value;
            this.order = order;
        }

        int transmitCount() {
            return transmitCount;
        }

        long order() {
            return order;
        }
    }

    private record StoredUpdate(Update update, long expiresAtUs) {}

    GossipQueue(MembershipConfig config) {
        this.config = config;
    }

    /** To be passed on, in place of what was told of the node before. */
    void enqueue(MemberRecord memberRecord) {
        memberRecords.put(memberRecord.node(), new QueueEntry<>(memberRecord, - ++lastOrder));
    }

    /** A word has come; whether it is new. */
    boolean offer(Update update, long nowUs) {
        Map<Integer, StoredUpdate> byTopic = updates.computeIfAbsent(update.origin(), o -> new HashMap<>());
        StoredUpdate previous = byTopic.get(update.topic());
        if (update.remainingMs() == 0
                || previous != null && !update.isNewerThan(previous.update)
                || previous == null && byTopic.size() >= MAX_TOPIC_COUNT) {
            return false;
        }
        StoredUpdate stored = new StoredUpdate(update, nowUs + update.remainingMs() * 1_000L);
        byTopic.put(update.topic(), stored);
        pendingUpdates.removeIf(entry ->
                entry.value.update.origin() == update.origin() && entry.value.update.topic() == update.topic());
        pendingUpdates.add(new QueueEntry<>(stored, - ++lastOrder));
        return true;
    }

    /** A message with as much of what is to be passed on as it holds, and what its sender says of itself. */
    Message nextMessage(Message.Kind kind, MemberRecord self, int sequence, int target, long nowUs) {
        int remainingBytes = Datagram.payloadCapacity(config.maxDatagramBytes()) - Datagram.MEMBER_RECORD_BYTES;
        List<MemberRecord> records = new ArrayList<>();
        records.add(self);
        List<QueueEntry<MemberRecord>> queued = new ArrayList<>(memberRecords.values());
        queued.sort(Comparator.<QueueEntry<MemberRecord>>comparingInt(QueueEntry::transmitCount)
                .thenComparingLong(QueueEntry::order));
        for (QueueEntry<MemberRecord> entry : queued) {
            if (remainingBytes < Datagram.MEMBER_RECORD_BYTES) {
                break;
            }
            if (entry.value.node() != self.node()) {
                remainingBytes -= Datagram.MEMBER_RECORD_BYTES;
                records.add(entry.value);
            }
            if (++entry.transmitCount >= config.transmitLimit()) {
                memberRecords.remove(entry.value.node());
            }
        }
        List<Update> selectedUpdates = new ArrayList<>();
        pendingUpdates.removeIf(
                entry -> entry.value.expiresAtUs <= nowUs || entry.transmitCount >= config.transmitLimit());
        pendingUpdates.sort(Comparator.<QueueEntry<StoredUpdate>>comparingInt(QueueEntry::transmitCount)
                .thenComparingLong(QueueEntry::order));
        for (QueueEntry<StoredUpdate> entry : pendingUpdates) {
            int encodedBytes = Datagram.bytes(entry.value.update);
            if (encodedBytes <= remainingBytes) {
                remainingBytes -= encodedBytes;
                entry.transmitCount++;
                selectedUpdates.add(entry.value.update.withRemainingMs((entry.value.expiresAtUs - nowUs) / 1_000));
            }
        }
        return new Message(kind, self.node(), self.generation(), sequence, target, records, selectedUpdates);
    }
}
