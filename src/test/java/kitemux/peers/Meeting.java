package kitemux.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import kitemux.sim.Scheduler;

/**
 * A fleet's members on a virtual clock: datagrams as bytes that are lost, late, doubled, spoilt and cut off,
 * nodes
 * that die, stand still and start anew. Whoever plays it asks what is believed; it decides nothing.
 */
final class Meeting {
    static final int FLEET = 77;
    private static final long UNIX_MS = 1_800_000_000_000L;
    /** Datagrams that the system holds for a process that stands still. */
    private static final int MOST_HELD = 64;

    final Scheduler time = new Scheduler();
    final List<Seat> seats = new ArrayList<>();
    final List<String> spoken = new ArrayList<>();
    private final SplittableRandom draws;
    private final Change change;
    double loss;
    double doubled;
    double spoilt;
    long leastLateUs = 200;
    long mostLateUs = 2_000;
    /** Whether what goes from one to another is cut. */
    final boolean[][] cut;

    long datagrams;
    long bytes;
    int largest;

    /** What a defect does to a node's terms and messages; null for a message that is not passed on. */
    interface Change {
        Change NONE = new Change() {};

        default MembershipConfig terms(MembershipConfig terms) {
            return terms;
        }

        default Message sent(Seat by, int to, Message message) {
            return message;
        }

        default Message received(Seat by, Message message) {
            return message;
        }
    }

    /** A place in the fleet, and the process that has it. */
    final class Seat {
        final int number;
        Membership members;
        boolean running;
        boolean still;
        int process;
        long since;
        private Scheduler.Event next;
        private final ArrayDeque<byte[]> held = new ArrayDeque<>();
        final List<Update> heard = new ArrayList<>();

        Seat(int number) {
            this.number = number;
        }

        void start() {
            process++;
            running = true;
            still = false;
            held.clear();
            since = time.nowUs();
            members = process(UNIX_MS + time.nowUs() / 1_000 + process);
            arm();
        }

        private Membership process(long life) {
            return new Membership(
                    change.terms(terms(number)),
                    life,
                    draws.nextLong(),
                    time.nowUs(),
                    (to, message) -> send(this, to, change.sent(this, to, message)),
                    new Membership.Listener() {
                        @Override
                        public void onMemberChanged(MemberRecord now) {
                            spoken.add(time.nowUs() + " " + number + " " + now);
                        }

                        @Override
                        public void onUpdate(Update word) {
                            heard.add(word);
                        }
                    });
        }

        Meeting meeting() {
            return Meeting.this;
        }

        /** Its process is gone without a word. */
        void die() {
            running = false;
            disarm();
        }

        /** Its process stands still; what comes is held for it, as far as there is room. */
        void stop() {
            still = true;
            disarm();
        }

        void goOn() {
            still = false;
            while (!held.isEmpty()) {
                read(held.poll());
            }
            arm();
        }

        void take(byte[] datagram) {
            if (running && still && held.size() < MOST_HELD) {
                held.add(datagram);
            } else if (running && !still) {
                read(datagram);
                arm();
            }
        }

        private void read(byte[] datagram) {
            Message message = Datagram.read(datagram, FLEET).message();
            Message seen = message == null ? null : change.received(this, message);
            if (seen != null) {
                members.receive(time.nowUs(), seen);
            }
        }

        private void disarm() {
            if (next != null) {
                next.cancel();
                next = null;
            }
        }

        void arm() {
            disarm();
            long at = members.nextTickAtUs();
            if (running && !still && at != Long.MAX_VALUE) {
                next = time.scheduleAt(Math.max(at, time.nowUs()) * 1_000, () -> {
                    members.tick(time.nowUs());
                    arm();
                });
            }
        }
    }

    Meeting(int nodes, long seed, Change change) {
        draws = new SplittableRandom(seed);
        this.change = change;
        cut = new boolean[nodes][nodes];
        for (int i = 0; i < nodes; i++) {
            seats.add(new Seat(i));
        }
        seats.forEach(seat -> time.scheduleAfterUs(draws.nextLong(200_000), seat::start));
        run(1_000_000);
    }

    MembershipConfig terms(int number) {
        return MembershipConfig.defaults(cut.length, number);
    }

    private void send(Seat from, int to, Message message) {
        if (message == null) {
            return;
        }
        byte[] datagram = Datagram.write(message, FLEET);
        datagrams++;
        bytes += datagram.length;
        largest = Math.max(largest, datagram.length);
        if (cut[from.number][to] || draws.nextDouble() < loss) {
            return;
        }
        int copies = draws.nextDouble() < doubled ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            byte[] copy = datagram.clone();
            if (draws.nextDouble() < spoilt) {
                copy[draws.nextInt(copy.length)] ^= (byte) (1 << draws.nextInt(8));
            }
            byte[] whole = draws.nextDouble() < spoilt ? Arrays.copyOf(copy, draws.nextInt(copy.length)) : copy;
            time.scheduleAfterUs(
                    draws.nextLong(leastLateUs, mostLateUs), () -> seats.get(to).take(whole));
        }
    }

    void run(long us) {
        long until = time.nowNanos() + us * 1_000;
        while (time.runNext(until)) {
            // Each step is one event.
        }
    }

    /** Lets time pass until something is so; how long that took in microseconds, or -1 where it never was. */
    long until(long mostUs, java.util.function.BooleanSupplier so) {
        long began = time.nowUs();
        while (!so.getAsBoolean()) {
            if (time.nowUs() - began > mostUs) {
                return -1;
            }
            run(10_000);
        }
        return time.nowUs() - began;
    }

    /** Nothing passes between these and the others, or all does. */
    void part(List<Integer> some, boolean is) {
        for (int i = 0; i < cut.length; i++) {
            for (int j = 0; j < cut.length; j++) {
                cut[i][j] = is && some.contains(i) != some.contains(j);
            }
        }
    }

    MemberState seen(int by, int node) {
        return seats.get(by).members.recordOf(node).state();
    }

    /** Whether all of these see a node so. */
    boolean allSee(List<Integer> by, int node, MemberState... so) {
        return by.stream().filter(i -> i != node).allMatch(i -> List.of(so).contains(seen(i, node)));
    }

    List<Integer> all() {
        return seats.stream().map(seat -> seat.number).toList();
    }

    List<Integer> but(Integer... some) {
        return all().stream().filter(i -> !List.of(some).contains(i)).toList();
    }

    boolean allAgreeThatAllAreThere() {
        return all().stream().allMatch(i -> allSee(all(), i, MemberState.ALIVE));
    }
}
