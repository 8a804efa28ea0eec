package kitemux.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.Settings;
import kitemux.http.Limits;

/**
 * All clients and the front that deals them out among the nodes: what they ask, how long they wait, how
 * they try again, and what the rude ones among them do.
 */
final class Clients {
    private static final int MOST_TRIES = 3;
    /** Of what is asked; the rest must not be repeated. */
    private static final double SAFE_SHARE = 0.51;

    private static final double KEYED_SHARE = 0.3;
    /** A connection that has not come up by then is given up. */
    private static final long DIAL_MS = 1_000;

    private static final long UP_EVERY_MS = 100;

    private final World world;
    private final Plan plan;
    private final Settings settings;
    private final SplittableRandom random;
    final Machine machine;
    private final Map<NodeHost, ArrayDeque<Line>> idle = new HashMap<>();
    private final List<NodeHost> inFront = new ArrayList<>();
    private long asked;
    private int wanted;
    private int open;
    private boolean over;

    Clients(World world, Plan plan, Settings settings, SplittableRandom random, Machine machine) {
        this.world = world;
        this.plan = plan;
        this.settings = settings;
        this.random = random;
        this.machine = machine;
    }

    /** What somebody wants, over all tries. */
    private record Want(RequestClass cls, int tenant, long workUs, int tries, String key) {}

    // ---------------------------------------------------------------- the front

    /** A node has been started: it is dealt clients once it says that it is up. */
    void watch(NodeHost node) {
        int process = node.process();
        Messages reader = new Messages();
        world.fabric.connect(machine, node.machine.address, end -> {
            if (end.connected && end.written == 0) {
                end.write(Messages.bytes("GET /up HTTP/1.1\r\nHost: front\r\n\r\n"));
            }
            End.Segment next;
            while (!end.closed && (next = end.read()) != null) {
                reader.take(next, answer -> {
                    if (answer.status() == 200 && process == node.process() && !inFront.contains(node)) {
                        inFront.add(node);
                        world.nodeNote(node, "is up");
                    }
                });
                end.close();
            }
            if (end.refused || end.finIn || end.resetIn) {
                end.close();
            }
        });
        world.time.scheduleAfterMs(UP_EVERY_MS, () -> {
            if (process == node.process() && !inFront.contains(node) && !over) {
                watch(node);
            }
        });
    }

    /** The front has noticed that a node has ended, or is about to. */
    void takeOut(NodeHost node) {
        inFront.remove(node);
    }

    // ---------------------------------------------------------------- what is asked

    void begin() {
        world.time.scheduleAfterUs(gapUs(), this::arrive);
    }

    private long gapUs() {
        return (long) (-Math.log(1 - random.nextDouble()) * 1e6 / world.ratePerS());
    }

    private void arrive() {
        if (world.time.nowNanos() >= plan.lengthMs() * 1_000_000L || wanted >= plan.requests()) {
            over = true;
            return;
        }
        wanted++;
        double pick = random.nextDouble();
        RequestClass cls = settings.classes.get(pick < SAFE_SHARE ? 0 : pick < SAFE_SHARE + KEYED_SHARE ? 1 : 2);
        int tenant = (int) (settings.tenants.size() * random.nextDouble() * random.nextDouble());
        want(new Want(cls, tenant, workOf(cls), 0, Long.toHexString(random.nextLong())));
        world.time.scheduleAfterUs(gapUs(), this::arrive);
    }

    /** Half of the mean is certain, the rest is chance, as for work that is mostly alike. */
    private long workOf(RequestClass cls) {
        return 1 + (long) (meanWorkUs(cls.retrySafety()) * (0.5 - 0.5 * Math.log(1 - random.nextDouble())));
    }

    private static double meanWorkUs(RetrySafety repeat) {
        return switch (repeat) {
            case SAFE -> 19_000;
            case KEYED -> 22_000;
            case UNSAFE -> 33_000;
        };
    }

    /** Mean work of what is asked, in microseconds on a core of speed 1. */
    static double meanWorkUs() {
        return SAFE_SHARE * meanWorkUs(RetrySafety.SAFE)
                + KEYED_SHARE * meanWorkUs(RetrySafety.KEYED)
                + (1 - SAFE_SHARE - KEYED_SHARE) * meanWorkUs(RetrySafety.UNSAFE);
    }

    private void want(Want want) {
        if (inFront.isEmpty()) {
            later(want, 200_000 + random.nextInt(800_000));
            return;
        }
        NodeHost node = inFront.get(random.nextInt(inFront.size()));
        double rude = random.nextDouble();
        if (rude < plan.rude() * 0.2) {
            new Line(node, null).sendOnceUp(garbage());
        }
        Ask ask = ask(want);
        Line line = lineTo(node);
        if (rude < plan.rude() * 0.4) {
            Ask second = ask(new Want(want.cls, want.tenant, want.workUs, MOST_TRIES, want.key + "b"));
            second.behind = true;
            line.send(ask, want, ask.wire.length);
            line.send(second, null, second.wire.length);
        } else if (rude < plan.rude() * 0.6) {
            line.send(ask, want, random.nextInt(ask.wire.length));
        } else {
            line.send(ask, want, ask.wire.length);
        }
        if (rude > 1 - plan.leaving()) {
            world.time.scheduleAfterUs((long) (random.nextDouble() * ask.remainingUs), () -> line.leave(ask));
        }
    }

    private Ask ask(Want want) {
        RequestClass cls = want.cls;
        long number = ++asked;
        String txn = Long.toHexString(Tape.mix(number)) + "-" + number;
        boolean safe = cls.retrySafety() == RetrySafety.SAFE;
        String what = (safe ? "GET" : "POST") + " /api/" + want.key + (number % 5 == 0 ? "?page=" + number : "");
        byte[] body =
                safe ? new byte[0] : new byte[random.nextInt(12) == 0 ? random.nextInt(30_000) : random.nextInt(300)];
        java.util.Arrays.fill(body, (byte) ('A' + number % 26));
        String idempotencyKey = world.isKeyed(cls) ? "k" + want.key : null;
        long remainingUs = (long) (cls.deadlineUs() * (0.4 + 0.4 * random.nextDouble()));
        Ask ask = new Ask(number, txn, cls, what, idempotencyKey, body, want.workUs, remainingUs);
        String headers = "Host: backend.local\r\nX-Txn: " + txn + "\r\nX-Lane: " + cls.name()
                + "\r\nX-Org: " + settings.tenants.get(want.tenant).name() + "\r\nX-Remaining: "
                + (number % 2 == 0 ? remainingUs + "u" : remainingUs / 1_000 + "m") + "\r\n"
                + (idempotencyKey == null ? "" : "Idempotency-Key: " + idempotencyKey + "\r\n")
                + (want.tries > 0 ? "X-Resent: 1\r\n" : "");
        ask.wire = safe
                ? Messages.bytes(what + " HTTP/1.1\r\n" + headers + "\r\n")
                : Messages.write(what + " HTTP/1.1", headers, body);
        world.judge.asked(ask);
        world.tape.note(Tape.What.ASK, number, ask.wire.length);
        if (world.tape.isOn()) {
            world.tape.line(Tape.What.ASK, ask + " within " + remainingUs / 1_000 + " ms, try " + want.tries);
        }
        return ask;
    }

    private byte[] garbage() {
        return Messages.bytes(
                switch (random.nextInt(4)) {
                    case 0 -> "what is this\r\n\r\n";
                    case 1 -> "GET /api/x HTTP/1.1\r\nX-Txn: g\r\n\r\n";
                    case 2 -> "POST /api/x HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n";
                    default -> "POST /api/x HTTP/1.1\r\nContent-Length: 900000\r\n\r\n";
                });
    }

    // ---------------------------------------------------------------- trying again

    private void later(Want want, long us) {
        if (want.tries + 1 < MOST_TRIES && !over) {
            Want next = new Want(want.cls, want.tenant, want.workUs, want.tries + 1, want.key);
            world.time.scheduleAfterUs(us, () -> want(next));
        }
    }

    private void answered(Want want, Messages.Message answer) {
        int status = answer.status();
        boolean refused = status == 429 || status == 503;
        boolean mayTryAgain = refused
                || status != 200
                        && (want.cls.retrySafety() == RetrySafety.SAFE
                                || want.cls.retrySafety() == RetrySafety.KEYED
                                        && want.cls.dedupScope() == DedupScope.ALL);
        if (mayTryAgain) {
            String after = answer.header("retry-after");
            long us = after == null ? 50_000 : (long) (Double.parseDouble(after) * 1e6);
            later(want, us + random.nextInt(100_000));
        }
    }

    // ---------------------------------------------------------------- connections

    private Line lineTo(NodeHost node) {
        ArrayDeque<Line> free = idle.computeIfAbsent(node, n -> new ArrayDeque<>());
        Line line;
        while ((line = free.poll()) != null) {
            if (line.isFree()) {
                return line;
            }
        }
        return new Line(node, free);
    }

    /** Tries so far. */
    int asked() {
        return (int) asked;
    }

    /** Connections that are open or coming up. */
    int openCount() {
        return open;
    }

    /** What a client sent and waits for. */
    private record Sent(Ask ask, Want want) {}

    /** A connection to a node. */
    private final class Line implements End.Listener {
        private final NodeHost node;
        private final ArrayDeque<Line> free;
        private final End end;
        private final Messages reader = new Messages();
        private final ArrayDeque<byte[]> unsent = new ArrayDeque<>();
        private final ArrayDeque<Sent> waiting = new ArrayDeque<>();
        private long offset;
        /** When anything last came. */
        private long heardAt;

        private boolean last;
        private boolean gone;
        private boolean mute;

        Line(NodeHost node, ArrayDeque<Line> free) {
            this.node = node;
            this.free = free;
            open++;
            end = world.fabric.connect(machine, node.machine.address, this);
            world.time.scheduleAfterMs(DIAL_MS, () -> {
                if (!end.connected) {
                    ended();
                }
            });
        }

        boolean isFree() {
            return !gone && !last && !mute && waiting.isEmpty() && end.connected && !end.finIn && !end.resetIn;
        }

        void sendOnceUp(byte[] bytes) {
            mute = true;
            write(bytes);
            world.time.scheduleAfterMs(200 + random.nextInt(4_000), this::close);
        }

        /** Sends a request, or so much of it, and the rest after a while or never. */
        void send(Ask ask, Want want, int first) {
            offset += ask.wire.length;
            ask.offset = offset;
            waiting.add(new Sent(ask, want));
            if (first == ask.wire.length) {
                write(ask.wire);
                sent(ask);
                return;
            }
            mute = true;
            write(java.util.Arrays.copyOf(ask.wire, first));
            if (random.nextBoolean()) {
                world.time.scheduleAfterMs(random.nextInt(3_000), this::close);
            } else {
                world.time.scheduleAfterUs(random.nextInt(200_000), () -> {
                    if (!gone && waiting.stream().anyMatch(s -> s.ask == ask)) {
                        write(java.util.Arrays.copyOfRange(ask.wire, first, ask.wire.length));
                        sent(ask);
                    }
                });
            }
        }

        private void write(byte[] bytes) {
            if (end.connected) {
                end.write(bytes);
            } else {
                unsent.add(bytes);
            }
        }

        /** From here on its answer is awaited. */
        private void sent(Ask ask) {
            if (!end.connected) {
                return;
            }
            ask.sentAt = world.time.nowNanos();
            if (!ask.behind) {
                world.time.scheduleAt(Judge.dueAt(ask), () -> look(ask));
            }
        }

        /** An answer is due, but for the time that its node has stood still since the deadline. */
        private void look(Ask ask) {
            if (ask.isAnswered() || ask.over || gone) {
                return;
            }
            long deadline = ask.sentAt + ask.remainingUs * 1_000;
            long had = world.time.nowNanos() - deadline - node.stalledBetween(deadline, world.time.nowNanos());
            long more = Judge.dueAt(ask) - deadline - had + world.judge.moreGraceNanos;
            if (more > 0) {
                world.time.scheduleAt(world.time.nowNanos() + more, () -> look(ask));
                return;
            }
            if (isLongAmid() && waiting.peek().ask == ask) {
                lookAtLong(ask);
                return;
            }
            if (isTaken(ask)) {
                world.judge.lost(
                        ask,
                        "has no answer " + ask.remainingUs / 1_000 + " ms and more after it was sent, on #"
                                + end.connection);
            }
            ask.over = true;
            close();
        }

        /** Its first bytes were in time: how it goes on is looked at until it ends. */
        private void lookAtLong(Ask ask) {
            if (ask.isAnswered() || ask.over || gone) {
                return;
            }
            long due = world.judge.longAnswerDueAt(ask, heardAt) + world.judge.moreGraceNanos;
            due += node.stalledBetween(Math.min(heardAt, ask.sentAt + ask.remainingUs * 1_000), due);
            if (world.time.nowNanos() < due) {
                world.time.scheduleAt(due, () -> lookAtLong(ask));
                return;
            }
            if (isTaken(ask)) {
                world.judge.stands(ask, heardAt);
            }
            ask.over = true;
            close();
        }

        private boolean isLongAmid() {
            return reader.lengthAmid() > Limits.MAX_BUFFERED_RESPONSE_BYTES;
        }

        /** Whether the node's machine had its last byte on a connection that the process had not let go
         * of. */
        private boolean isTaken(Ask ask) {
            return end.peer != null && end.peer.arrived >= ask.offset && !end.peer.killed && !end.cut;
        }

        void leave(Ask ask) {
            if (!ask.isAnswered() && !gone && waiting.stream().anyMatch(s -> s.ask == ask)) {
                world.tape.note(Tape.What.LEAVE, ask.number, 0);
                if (world.tape.isOn()) {
                    world.tape.line(Tape.What.LEAVE, ask.toString());
                }
                close();
            }
        }

        /** The client closes: nothing is owed to it. */
        private void close() {
            if (!gone) {
                waiting.forEach(s -> {
                    s.ask.over = true;
                    s.ask.leftAt = world.time.nowNanos();
                });
                waiting.clear();
                if (random.nextInt(4) == 0) {
                    end.abort();
                } else {
                    end.close();
                }
                letGo();
            }
        }

        private void letGo() {
            if (!gone) {
                gone = true;
                open--;
                end.close();
                if (free != null) {
                    free.remove(this);
                }
            }
        }

        @Override
        public void changed(End changed) {
            if (gone) {
                return;
            }
            if (end.connected && !unsent.isEmpty()) {
                byte[] next;
                while ((next = unsent.poll()) != null) {
                    end.write(next);
                }
                waiting.stream()
                        .filter(s -> s.ask.sentAt < 0 && s.ask.offset <= end.written)
                        .forEach(s -> sent(s.ask));
            }
            End.Segment segment;
            while (!gone && (segment = end.read()) != null) {
                heardAt = world.time.nowNanos();
                try {
                    reader.take(segment, this::got);
                } catch (IllegalArgumentException e) {
                    world.judge.breach(
                            Rule.UNCHANGED, "an answer on #" + end.connection + " is none: " + e.getMessage());
                    close();
                }
            }
            if (!gone && (end.refused || end.finIn || end.resetIn)) {
                ended();
            }
        }

        private void got(Messages.Message answer) {
            if (answer.status() == 100) {
                return;
            }
            Sent sent = waiting.poll();
            if (sent == null) {
                if (!mute) {
                    world.judge.breach(
                            Rule.ANSWERED,
                            "an answer " + answer.status() + " on #"
                                    + end.connection
                                    + " is one that nobody waits for");
                }
                return;
            }
            last |= answer.isLast();
            if (sent.ask.sentAt < 0) {
                // Not sent whole, and turned down for that.
                sent.ask.over = true;
                return;
            }
            world.judge.answered(sent.ask, answer);
            if (sent.want != null) {
                answered(sent.want, answer);
            }
            if (waiting.isEmpty() && !last && free != null && !mute) {
                free.push(this);
            }
        }

        /** The connection is over, or never came up. */
        private void ended() {
            List<Sent> left = List.copyOf(waiting);
            waiting.clear();
            boolean killed = end.peer != null && end.peer.killed;
            boolean brokenOff = !left.isEmpty() && isBrokenOff(left.get(0).ask);
            for (Sent sent : left) {
                ended(sent, killed, brokenOff);
            }
            letGo();
        }

        /**
         * Whether the answer to it was passed on as it came and broken off by its box: it has failed, and the
         * client can tell. Nothing else could be said on this connection, so that what was sent ahead behind
         * it fails with it.
         */
        private boolean isBrokenOff(Ask ask) {
            return isLongAmid() && ask.runs.stream().anyMatch(run -> run.cut || !run.answerHeard);
        }

        private void ended(Sent sent, boolean killed, boolean brokenOff) {
            Ask ask = sent.ask;
            boolean taken = ask.sentAt >= 0 && isTaken(ask);
            if (!taken
                    && !killed
                    && !end.cut
                    && !reader.isAmid()
                    && !last
                    && sent.want != null
                    && !ask.behind
                    && ask.sentAt >= 0
                    && end.connected) {
                // It crossed the end of the connection: once more, on a new one.
                resend(sent);
                return;
            }
            ask.over = true;
            if (taken && !last && brokenOff) {
                world.judge.brokenOff(ask);
            } else if (taken && !last) {
                world.judge.lost(
                        ask, "was taken, and its connection #" + end.connection + " ended with no whole answer");
            } else if (sent.want != null && (!end.connected || sent.want.cls.retrySafety() == RetrySafety.SAFE)) {
                later(sent.want, 100_000 + random.nextInt(400_000));
            }
        }

        private void resend(Sent sent) {
            Line again = new Line(node, free);
            sent.ask.sentAt = -1;
            again.send(sent.ask, sent.want, sent.ask.wire.length);
        }
    }
}
