package kitemux.world;

import java.util.ArrayDeque;
import java.util.List;

/**
 * One end of a TCP connection as its process has it: what has come and is not read, what may be written,
 * and how it ended. A segment that arrives behind a close is answered with a reset, like a close on unread
 * bytes.
 */
final class End {
    /** Told that something can be read or written, or that the connection is up, refused or over. */
    interface Listener {
        void changed(End end);
    }

    /** Bytes with the time at which their sender wrote them. */
    record Segment(byte[] bytes, long sentAt) {}

    /** What a sender may have on its way and unread at the other end. */
    private static final int WINDOW = 64 << 10;

    private final Fabric fabric;
    final Machine machine;
    /** Numbers the connection; both ends have the same. */
    final long connection;

    End peer;
    Listener listener;
    boolean connected;
    boolean refused;
    /** The other end writes no more. */
    boolean finIn;
    /** The connection is broken; the process finds out as it reads or writes. */
    boolean resetIn;

    boolean finOut;
    /** The process has let go of it. */
    boolean closed;
    /** The process ended with it. */
    boolean killed;
    /** A network fault broke it. */
    boolean cut;
    /** What is written from here on is lost: the connection is about to be found broken. */
    boolean severed;
    /** Bytes that have come while the process had it open. */
    long arrived;
    /** When the last of them came. */
    long arrivedAt;
    /** Bytes that were written. */
    long written;

    private final ArrayDeque<Segment> inbox = new ArrayDeque<>();
    private int unread;
    private int onTheWay;
    private boolean blocked;
    private long lastArrival;

    End(Fabric fabric, Machine machine, long connection) {
        this.fabric = fabric;
        this.machine = machine;
        this.connection = connection;
    }

    int unread() {
        return unread;
    }

    /** Whether a read would return something, be it the end. */
    boolean isReadable() {
        return unread > 0 || finIn || resetIn;
    }

    /** Takes what came first off the inbox; null if there is nothing. */
    Segment read() {
        Segment next = inbox.poll();
        if (next != null) {
            took(next.bytes.length);
        }
        return next;
    }

    /** Takes at most so many bytes; the number taken. */
    int read(byte[] into, int most) {
        int count = 0;
        while (count < most && !inbox.isEmpty()) {
            Segment first = inbox.poll();
            int take = Math.min(most - count, first.bytes.length);
            System.arraycopy(first.bytes, 0, into, count, take);
            count += take;
            if (take < first.bytes.length) {
                byte[] rest = new byte[first.bytes.length - take];
                System.arraycopy(first.bytes, take, rest, 0, rest.length);
                inbox.addFirst(new Segment(rest, first.sentAt));
            }
        }
        took(count);
        return count;
    }

    private void took(int count) {
        unread -= count;
        if (peer.blocked && !peer.closed) {
            peer.blocked = false;
            fabric.soon(() -> peer.tell());
        }
    }

    /** How many bytes may be written now; where it is none, the listener is told when that changes. */
    int room() {
        int room = Math.max(0, WINDOW - onTheWay - peer.unread);
        blocked = room == 0;
        return room;
    }

    /** Writes, whatever the room; pieces arrive in order. Dropped if the connection is over. */
    void write(byte[] bytes) {
        write(bytes, () -> {});
    }

    /** The same; should the last of it come while the other process has the connection open, that is told. */
    void write(byte[] bytes, Runnable whenHeard) {
        if (closed || finOut || resetIn || !connected) {
            return;
        }
        written += bytes.length;
        if (severed) {
            return;
        }
        send(fabric.cut(this, bytes), whenHeard);
    }

    /** Writes what arrives in one piece. */
    void writeAtOnce(byte[] bytes) {
        if (!closed && !finOut && !resetIn && connected && !severed) {
            written += bytes.length;
            send(List.of(bytes), () -> {});
        }
    }

    private void send(List<byte[]> pieces, Runnable whenHeard) {
        long sentAt = fabric.now() + machine.spent;
        for (byte[] piece : pieces) {
            onTheWay += piece.length;
        }
        long last = peer.arrived + onTheWay;
        for (byte[] piece : pieces) {
            arrive(() -> {
                onTheWay -= piece.length;
                if (peer.closed) {
                    peer.sendReset();
                } else if (!peer.resetIn) {
                    peer.inbox.add(new Segment(piece, sentAt));
                    peer.unread += piece.length;
                    peer.arrived += piece.length;
                    peer.arrivedAt = fabric.now();
                    fabric.noteData(peer, piece.length);
                    if (peer.arrived == last && !severed) {
                        whenHeard.run();
                    }
                    peer.tell();
                }
            });
        }
    }

    void shutdownOutput() {
        if (!finOut && !closed && connected) {
            finOut = true;
            arrive(() -> {
                if (!severed && !peer.closed && !peer.resetIn) {
                    peer.finIn = true;
                    fabric.noteEnd(peer);
                    peer.tell();
                }
            });
        }
    }

    /** The process lets go: an end behind what it wrote, or a reset if it has not read all. */
    void close() {
        if (closed) {
            return;
        }
        if (unread > 0) {
            abort();
            return;
        }
        shutdownOutput();
        letGo();
    }

    /** The process lets go and the connection breaks. */
    void abort() {
        if (!closed) {
            letGo();
            sendReset();
        }
    }

    private void letGo() {
        closed = true;
        machine.ends.remove(this);
        inbox.clear();
        unread = 0;
    }

    private void sendReset() {
        if (connected && !resetIn) {
            arrive(() -> {
                if (!severed && !peer.closed && !peer.resetIn) {
                    peer.reset();
                }
            });
        }
    }

    /** The connection is broken from here on; what has come may still be read, or is lost with it. */
    void reset() {
        resetIn = true;
        if (fabric.losesUnread()) {
            unread = 0;
            inbox.clear();
        }
        fabric.noteReset(this);
        tell();
    }

    /** At the other end after the way there, behind all that was sent before; lost if a machine is silent. */
    private void arrive(Runnable what) {
        lastArrival = Math.max(lastArrival, fabric.now() + machine.spent + fabric.delay());
        fabric.at(lastArrival, () -> {
            if (!machine.silent && !peer.machine.silent) {
                what.run();
            }
        });
    }

    void tell() {
        if (!closed && listener != null) {
            listener.changed(this);
        }
    }
}
