package kitemux.peers;

import java.util.Arrays;

/**
 * An application message that one node broadcasts to all others. For each origin and topic only the newest
 * version is kept.
 *
 * @param origin number of the node that broadcasts the update
 * @param generation of the origin's process, in milliseconds of Unix time
 * @param topic application-defined topic, from 0 to 255
 * @param version increases with each change, within a generation of the origin
 * @param remainingMs time until the update expires, in milliseconds, up to 65,535
 * @param payload at most {@link Datagram#MAX_UPDATE_PAYLOAD_BYTES} bytes
 */
public record Update(int origin, long generation, int topic, int version, int remainingMs, byte[] payload) {
    /** Whether this update has a later generation, or a later version within the same generation. */
    boolean isNewerThan(Update other) {
        return generation != other.generation ? generation > other.generation : version > other.version;
    }

    /** Returns a copy with another remaining time; negative times count as 0. */
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
