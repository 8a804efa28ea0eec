package kitemux.drill;

import java.util.ArrayDeque;

/** The most that came within any stretch of time; times come in order. */
final class Window {
    private final long lengthUs;
    private final ArrayDeque<Long> in = new ArrayDeque<>();
    private int most;

    Window(long lengthUs) {
        this.lengthUs = lengthUs;
    }

    /** Something comes; how many did within the stretch that ends now. */
    int came(long atUs) {
        in.add(atUs);
        while (in.peek() <= atUs - lengthUs) {
            in.poll();
        }
        most = Math.max(most, in.size());
        return in.size();
    }

    int most() {
        return most;
    }
}
