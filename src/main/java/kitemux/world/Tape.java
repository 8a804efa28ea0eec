package kitemux.world;

import java.io.PrintWriter;
import java.util.Locale;
import kitemux.sim.Scheduler;

/** What happened, as a digest always and as lines on request. Both tell two runs apart in the same places. */
final class Tape {
    private final Scheduler time;
    private final PrintWriter lines;
    private long digest = 0x9e3779b97f4a7c15L;

    /** What a line is about; each has a place in the digest by its number. */
    enum What {
        CONNECT,
        OPEN,
        ACCEPT,
        REFUSED,
        DATA,
        END,
        RESET,
        ASK,
        ANSWER,
        LEAVE,
        ATTEMPT,
        REPLY,
        TOLD,
        FAULT,
        NODE,
        SEND,
        OUTCOME,
        LOG,
        BREACH
    }

    /** Lines go to the writer, unless it is null. */
    Tape(Scheduler time, PrintWriter lines) {
        this.time = time;
        this.lines = lines;
    }

    /** Whether lines are kept: to be asked before one is put together. */
    boolean isOn() {
        return lines != null;
    }

    /** Something happened; the two numbers tell it apart from others of its kind. */
    void note(What what, long a, long b) {
        digest = mix(digest ^ what.ordinal() + 31 * time.nowNanos());
        digest = mix(digest + a * 0x9e3779b97f4a7c15L ^ b);
    }

    /** The line to what was just noted. */
    void line(What what, String text) {
        lines.printf(Locale.ROOT, "%12.6f %8d %-8s %s%n", time.nowNanos() / 1e9, time.executedEventCount(), what, text);
    }

    long digest() {
        return digest;
    }

    /** Spreads 64 bits over 64 bits: the finaliser of SplitMix64. */
    static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
