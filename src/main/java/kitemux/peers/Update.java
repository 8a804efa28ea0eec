package kitemux.peers;

import java.util.Arrays;

/**
 * Something that one node tells all others beside what it says of nodes; of one origin and topic the newest
 * version holds.
 *
 * @param origin the node that says it
 * @param topic what it is about, from 0 to 255
 * @param version counts up with each change, within a life of its origin
 * @param remainingMs for how much longer it means anything, up to 65,535
 * @param payload at most {@link Datagram#MAX_UPDATE_PAYLOAD_BYTES} bytes
 */
public record Update(int origin, long generation, int topic, int version, int remainingMs, byte[] payload) {
    boolean isNewerThan(Update other) {
        return generation != other.generation ? generation > other.generation : version > other.version;
    }

    Update withRemainingMs(long ms) {
        return new Update(origin, generation, topic, version, (int) Math.max(0, ms), payload);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Update update
                && origin == update.origin
                && generation == update.generation
                && topic == update.topic
                && version == update.version
                && remainingMs == update.remainingMs
                && Arrays.equals(payload, update.payload);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(payload) * 31 + version;
    }
}
