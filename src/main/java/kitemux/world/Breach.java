package kitemux.world;

import java.util.Locale;

/**
 * A rule that was broken.
 *
 * @param step the event after which it was seen
 * @param atMs the virtual time
 * @param what the case
 */
record Breach(Rule rule, long step, double atMs, String what) {
    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s (%s) at step %d, %.3f ms: %s", rule, rule.text, step, atMs, what);
    }
}
