package kitemux.world;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import kitemux.config.ConfigException;
import kitemux.net.Addresses;
import kitemux.sim.Scheduler;

/** The network between the machines: ways that take time, and what may go wrong on them. */
final class Fabric {
    /** Shortest way, and the mean of what comes on top, in nanoseconds: one server room. */
    private static final long LEAST_WAY = 30_000;

    private static final double MEAN_MORE = 80_000;
    /** Most pieces that one write is cut into. */
    private static final int MOST_PIECES = 24;

    private final Scheduler time;
    private final Tape tape;
    private final SplittableRandom random;
    private final Map<InetSocketAddress, Machine> machines = new HashMap<>();
    private long connections;
    /** Share of connections whose bytes come in small pieces, and of those that come in two or three. */
    double shredded = 0.05;

    double pieced = 0.2;
    /** Added to every way, in nanoseconds. */
    long slower;
    /** Share of connects that never come up, and of connections that break at some write. */
    double hanging;

    double breaking;

    Fabric(Scheduler time, Tape tape, SplittableRandom random) {
        this.time = time;
        this.tape = tape;
        this.random = random;
    }

    Machine add(String name, int number, String address) {
        Machine machine = new Machine(name, number, address(address));
        machines.put(machine.address, machine);
        return machine;
    }

    long now() {
        return time.nowNanos();
    }

    void at(long nanos, Runnable what) {
        time.scheduleAt(nanos, what);
    }

    void soon(Runnable what) {
        time.scheduleAt(time.nowNanos() + delay(), what);
    }

    long delay() {
        return LEAST_WAY + slower + (long) (-Math.log(1 - random.nextDouble()) * MEAN_MORE);
    }

    boolean losesUnread() {
        return random.nextBoolean();
    }

    /** Cuts what is written into the pieces that arrive, and may break the connection between two of them. */
    List<byte[]> cut(End from, byte[] bytes) {
        double kind = random.nextDouble();
        int pieces = kind < shredded
                ? 2 + random.nextInt(MOST_PIECES)
                : kind < shredded + pieced ? 2 + random.nextInt(2) : 1;
        pieces = Math.min(pieces, Math.max(1, bytes.length));
        if (breaking > 0 && random.nextDouble() < breaking) {
            int whole = random.nextInt(bytes.length + 1);
            from.severed = true;
            breakBehind(from);
            return whole == 0 ? List.of() : List.of(java.util.Arrays.copyOf(bytes, whole));
        }
        if (pieces == 1) {
            return List.of(bytes);
        }
        byte[][] cut = new byte[pieces][];
        int begin = 0;
        for (int i = 0; i < pieces; i++) {
            int left = bytes.length - begin;
            int later = pieces - 1 - i;
            int end = later == 0 ? bytes.length : begin + 1 + random.nextInt(Math.max(1, left - later));
            cut[i] = java.util.Arrays.copyOfRange(bytes, begin, end);
            begin = end;
        }
        return List.of(cut);
    }

    private void breakBehind(End from) {
        long when = now() + 2 * delay();
        time.scheduleAt(when, () -> cutOff(from));
    }

    /** Both ends find the connection broken. */
    void cutOff(End one) {
        for (End end : List.of(one, one.peer)) {
            if (!end.closed && !end.resetIn) {
                end.cut = true;
                end.reset();
            }
        }
    }

    /** Opens a connection; the listener is told once it is up or refused, and never if it hangs. */
    End connect(Machine from, InetSocketAddress to, End.Listener listener) {
        End near = new End(this, from, ++connections);
        near.listener = listener;
        from.ends.add(near);
        tape.note(Tape.What.CONNECT, near.connection, from.number);
        if (tape.isOn()) {
            tape.line(Tape.What.CONNECT, "#" + near.connection + " " + from + " -> " + to);
        }
        boolean hangs = hanging > 0 && random.nextDouble() < hanging;
        time.scheduleAt(time.nowNanos() + from.spent + delay(), () -> {
            Machine target = machines.get(to);
            if (hangs || from.silent || target == null || target.silent) {
                return;
            }
            End far = new End(this, target, near.connection);
            near.peer = far;
            far.peer = near;
            if (target.acceptor == null) {
                soon(() -> {
                    near.refused = true;
                    tape.note(Tape.What.REFUSED, near.connection, 0);
                    near.tell();
                });
                return;
            }
            // Up for the far machine, and the near one hears of it; should it have closed, it says so.
            far.connected = true;
            target.ends.add(far);
            soon(() -> {
                if (near.closed) {
                    near.connected = true;
                    if (!far.closed) {
                        far.reset();
                    }
                } else {
                    near.connected = true;
                    tape.note(Tape.What.OPEN, near.connection, target.number);
                    near.tell();
                }
            });
            target.acceptor.incoming(far);
        });
        return near;
    }

    void noteAccept(End at) {
        tape.note(Tape.What.ACCEPT, at.connection, at.machine.number);
        if (tape.isOn()) {
            tape.line(Tape.What.ACCEPT, "#" + at.connection + " by " + at.machine);
        }
    }

    void noteData(End at, int length) {
        tape.note(Tape.What.DATA, at.connection, length);
        if (tape.isOn()) {
            tape.line(Tape.What.DATA, "#" + at.connection + " " + length + " bytes at " + at.machine);
        }
    }

    void noteEnd(End at) {
        tape.note(Tape.What.END, at.connection, at.machine.number);
        if (tape.isOn()) {
            tape.line(Tape.What.END, "#" + at.connection + " end heard at " + at.machine);
        }
    }

    void noteReset(End at) {
        tape.note(Tape.What.RESET, at.connection, at.machine.number);
        if (tape.isOn()) {
            tape.line(Tape.What.RESET, "#" + at.connection + " broken at " + at.machine);
        }
    }

    /** An address as plans write it. */
    static InetSocketAddress address(String text) {
        try {
            return Addresses.parse("address", text);
        } catch (ConfigException e) {
            throw new IllegalArgumentException(e);
        }
    }
}
