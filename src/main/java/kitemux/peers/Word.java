package kitemux.peers;

import java.util.Arrays;

/**
 * Something that one node tells all others beside what it says of nodes; of one origin and topic the newest
 * version holds.
 *
 * @param origin the node that says it
 * @param topic what it is about, from 0 to 255
 * @param version counts up with each change, within a life of its origin
 * @param leftMs for how much longer it means anything, up to 65,535
 * @param text at most {@link Datagram#MOST_WORD} bytes
 */
public record Word(int origin, long life, int topic, int version, int leftMs, byte[] text) {
    boolean isNewerThan(Word other) {
        return life != other.life ? life > other.life : version > other.version;
    }

    Word leaving(long ms) {
        return new Word(origin, life, topic, version, (int) Math.max(0, ms), text);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Word word
                && origin == word.origin
                && life == word.life
                && topic == word.topic
                && version == word.version
                && leftMs == word.leftMs
                && Arrays.equals(text, word.text);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(text) * 31 + version;
    }
}
