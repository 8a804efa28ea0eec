package kitemux.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Member records and updates that are still to be gossiped. Each entry is attached to a limited number of
 * messages; entries that were sent least often go first, and member records go before updates. The size is
 * bounded by the number of nodes, and for updates by nodes and topics.
 */
final class GossipQueue {
    /** Topics that are kept for each origin; updates on further topics are ignored. */
    private static final int MAX_TOPIC_COUNT = 8;

    private final MembershipConfig config;
    private final Map<Integer, QueueEntry<MemberRecord>> memberRecords = new HashMap<>();
    private final Map<Integer, Map<Integer, StoredUpdate>> updates = new HashMap<>();
    private final List<QueueEntry<StoredUpdate>> pendingUpdates = new ArrayList<>();
    private long lastOrder;

    /**
     * A queued value and how often it was sent. Newer entries have a lower order and go first among those that
     * were sent equally often.
     */
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

    /** An update with the time at which it expires, on this node's clock in microseconds. */
    private record StoredUpdate(Update update, long expiresAtUs) {}

    /** Creates an empty queue. */
    GossipQueue(MembershipConfig config) {
        this.config = config;
    }

    /** Queues a member record and replaces the queued record of the same node. */
    void enqueue(MemberRecord memberRecord) {
        memberRecords.put(memberRecord.node(), new QueueEntry<>(memberRecord, - ++lastOrder));
    }

    /** Queues an update if it is newer than the known one of its origin and topic; returns whether it was. */
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

    /** Creates a message with the sender's own record and as many queued entries as its datagram holds. */
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
