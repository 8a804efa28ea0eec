package kitemux.drill;

import java.util.List;

/**
 * Something that goes wrong in a drill, among parties that have been drawn already. Times are microseconds of
 * the run's time.
 *
 * @param forUs until it is over
 * @param links the ways that it befalls, each from one party to the other; empty for faults of processes
 * @param nodes the nodes whose processes it befalls, by their numbers; empty for faults of ways
 * @param there whether it befalls what goes from the first party to the second
 * @param back whether it befalls the other direction
 * @param delayUs SLOW: more than the usual way, at least
 * @param spreadUs SLOW: and up to so much beyond, drawn for each piece
 * @param bytesPerS SLOW: what goes through in a second; 0 for no limit
 * @param everyUs FLAP: one cut and one pause together take so long
 */
record Fault(
        String name,
        What what,
        long atUs,
        long forUs,
        List<Way> links,
        List<Integer> nodes,
        boolean there,
        boolean back,
        long delayUs,
        long spreadUs,
        double bytesPerS,
        long everyUs) {

    /** The kinds. */
    enum What {
        /** Nothing passes, nor is said why; what was on its way comes late. */
        CUT,
        /** All is late, by a time that differs, or little passes at a time. */
        SLOW,
        /** Cut and whole again, over and over. */
        FLAP,
        /** All connections are reset, once. */
        RESET,
        /** A node's process is killed, and starts anew when the fault is over. */
        KILL,
        /** A node's process is stopped, and goes on when the fault is over. */
        STOP,
        /** A node's machine goes: its process and all ways to and from it, without a word. */
        CRASH;

        boolean isOfWays() {
            return ordinal() <= RESET.ordinal();
        }
    }

    /** The way from whoever dials to whoever listens. */
    record Way(String from, String to) {
        @Override
        public String toString() {
            return from + ">" + to;
        }
    }
}
