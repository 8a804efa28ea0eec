package kitemux.world;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import kitemux.Balancer.Settings;
import kitemux.sim.ColdStartLoad;

/**
 * A server with one core: it takes requests in turn, turns away what its waiting room does not hold, is
 * cold after a start, falls over when pushed, turns slow when crowded, and does whatever else a fault makes
 * it do. What it has taken it works off, whether anybody still waits or not.
 */
final class Box {
    private static final int MOST_CONNECTIONS = 90;
    /** How crowded it must be, and for how long it is then slow, in requests that wait. */
    private static final int CROWDED = 12;

    private static final int IDLE = 1;
    /** The first piece of a long answer, which is passed on from there, and the most that follows. */
    private static final int LONG = 70_000;
    /** Between two pieces: by any measure it has not stopped. */
    private static final int MOST_PAUSE_US = 120_000;

    private final World world;
    private final Settings settings;
    private final SplittableRandom random;
    final Machine machine;
    final String uid;
    final int cell;
    final double speed;
    private final int room;
    /** Whether it turns slow when crowded, and how much. */
    private final double slowBy;

    private final long crowdedForUs;
    private final long idleForUs;

    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private Job running;
    private int connections;
    /** Counts its processes: what an old one began is no concern of the next. */
    private int process;

    private boolean up = true;
    /** It fell over and stays down. */
    boolean fallen;
    /** When its process started, in milliseconds of Unix time; 0 for long ago. */
    long bootMs;

    private long startedUs = Long.MIN_VALUE / 2;
    boolean draining;
    /** Share of requests that it fails quickly, and of answers that it spoils. */
    double failing;

    double spoiling;
    /** Share of answers that are long and come bit by bit. */
    double givingLong;

    private final Set<Ask.Run> giving = new HashSet<>();
    /** Share of requests on whose coming it resets their connection, before any answer; it serves them
     * still. */
    double resetting;

    private boolean slow;
    /** A fault makes it slow however little it has to do. */
    double slowed = 1;

    private long crowdedSinceUs = -1;
    private long idleSinceUs = -1;
    /** What came to it while cold. */
    private final ColdStartLoad coldWork;

    /** A request in its waiting room or in work. */
    private record Job(Ask ask, Ask.Run run, Line line, long takenUs, long leftUs, long dialUs) {}

    Box(
            World world,
            Settings settings,
            SplittableRandom random,
            Machine machine,
            int cell,
            double speed,
            boolean chokes) {
        this.world = world;
        this.settings = settings;
        coldWork = new ColdStartLoad(Clients.meanWorkUs(), settings.overloadWindowUs);
        this.random = random;
        this.machine = machine;
        uid = machine.name;
        this.cell = cell;
        this.speed = speed;
        room = 8 + random.nextInt(40);
        slowBy = chokes ? 2 + 1.5 * random.nextDouble() : 1;
        crowdedForUs = 1_500_000 + random.nextInt(1_000_000);
        idleForUs = 2_700_000 + random.nextInt(1_900_000);
        machine.acceptor = this::incoming;
    }

    // ---------------------------------------------------------------- its life

    boolean isUp() {
        return up && !machine.silent;
    }

    /** Its process ends: connections break, what it held is gone. */
    void die() {
        end();
        machine.die();
    }

    /** It is cut off; its process has ended by the time that it is back. */
    void goSilent() {
        end();
        machine.vanish();
    }

    private void end() {
        up = false;
        process++;
        waiting.clear();
        running = null;
        connections = 0;
        giving.forEach(run -> run.giving = false);
        giving.clear();
    }

    /** A new process, cold. */
    void start() {
        if (fallen) {
            return;
        }
        if (machine.silent) {
            machine.reappear();
        }
        up = true;
        draining = false;
        slow = false;
        crowdedSinceUs = -1;
        startedUs = world.time.nowUs();
        bootMs = world.unixMs();
        coldWork.reset();
        machine.acceptor = this::incoming;
    }

    /** The part of its work that it can do by now, in (0, 1]. */
    private double warmth() {
        double age = (double) (world.time.nowUs() - startedUs) / settings.warmUpUs;
        return age >= 1 ? 1 : settings.coldCapacityRatio + (1 - settings.coldCapacityRatio) * age;
    }

    private double pace() {
        return speed * warmth() / slowed / (slow ? slowBy : 1);
    }

    // ---------------------------------------------------------------- connections

    private void incoming(End end) {
        connections++;
        end.listener = new Line(end, process);
    }

    /** A connection. */
    private final class Line implements End.Listener {
        private final End end;
        private final int of;
        private final Messages reader = new Messages();
        private long dialUs = 3_800 + random.nextInt(2_300);
        private boolean busy;
        private boolean gone;

        Line(End end, int of) {
            this.end = end;
            this.of = of;
        }

        @Override
        public void changed(End changed) {
            if (of != process) {
                return;
            }
            End.Segment next;
            while (!end.closed && (next = end.read()) != null) {
                try {
                    reader.take(next, this::got);
                } catch (IllegalArgumentException e) {
                    world.judge.breach(Rule.UNCHANGED, Box.this + " was sent what is no request: " + e.getMessage());
                    end.abort();
                }
            }
            if (!gone && (end.finIn || end.resetIn)) {
                gone = true;
                connections--;
                end.close();
            }
        }

        private void got(Messages.Message request) {
            if (request.start().equals("GET /alive HTTP/1.1")) {
                end.write(Messages.write("HTTP/1.1 200 OK", "", new byte[0]));
                return;
            }
            if (busy) {
                world.judge.breach(Rule.UNCHANGED, Box.this + " was sent two requests at once on #" + end.connection);
            }
            Ask ask = world.judge.askOf(request);
            NodeHost from = world.nodeAt(end.peer.machine);
            if (ask != null) {
                take(ask, request, from);
            }
        }

        private void take(Ask ask, Messages.Message request, NodeHost from) {
            Ask.Run run = new Ask.Run(Box.this, end, request.firstSentAt(), world.time.nowNanos());
            world.tape.note(Tape.What.ATTEMPT, ask.number, machine.number);
            if (world.tape.isOn()) {
                world.tape.line(
                        Tape.What.ATTEMPT, ask + " at " + Box.this + " from " + from + " on #" + end.connection);
            }
            world.judge.arrived(ask, run, from);
            busy = true;
            if (isPushedOver(ask, from)) {
                fallen = true;
                world.fault(Box.this + " falls over");
                die();
                return;
            }
            String left = request.header("x-remaining");
            Job job = new Job(
                    ask, run, this, world.time.nowUs(), Long.parseLong(left.substring(0, left.length() - 1)), dialUs);
            dialUs = 0;
            if (connections > MOST_CONNECTIONS || waiting.size() >= room || draining) {
                turnAway(job, "503 Full");
            } else if (failing > 0 && random.nextDouble() < failing) {
                afterwards(500 + random.nextInt(3_000), () -> answer(job, "HTTP/1.1 500 Failed", new byte[0]));
            } else {
                if (resetting > 0 && random.nextDouble() < resetting) {
                    end.abort();
                    connections--;
                    gone = true;
                }
                waiting.add(job);
                watchCrowd();
                next();
            }
        }

        void write(byte[] bytes, Job job) {
            busy = false;
            end.write(bytes, () -> job.run.answerHeard = true);
        }
    }

    // ---------------------------------------------------------------- work

    private void afterwards(long us, Runnable what) {
        int of = process;
        world.time.scheduleAfterUs(us, () -> {
            if (of == process) {
                what.run();
            }
        });
    }

    private void next() {
        while (running == null && !waiting.isEmpty()) {
            Job job = waiting.poll();
            if (world.time.nowUs() - job.takenUs > job.leftUs) {
                turnAway(job, "504 Over");
                continue;
            }
            running = job;
            long us = Math.max(1, (long) ((job.ask.workUs + job.dialUs) / pace()));
            afterwards(us, () -> {
                running = null;
                serve(job);
                watchCrowd();
                next();
            });
        }
    }

    private void turnAway(Job job, String status) {
        job.run.turnedAway = true;
        job.line.busy = false;
        job.line.end.write(Messages.write("HTTP/1.1 " + status, "X-Turned-Away: 1\r\n", new byte[0]), () -> {
            job.run.answerHeard = true;
            job.run.turnedAwayHeardAt = world.time.nowNanos();
        });
    }

    private void serve(Job job) {
        if (givingLong > 0 && random.nextDouble() < givingLong) {
            byte[] body = body(job.ask, LONG + random.nextInt(LONG));
            job.ask.made.add(body);
            world.tape.note(Tape.What.REPLY, job.ask.number, body.length);
            int pieces = 3 + random.nextInt(30);
            job.run.giving = true;
            giving.add(job.run);
            give(
                    job,
                    Messages.write("HTTP/1.1 200 OK", "", body),
                    0,
                    pieces,
                    random.nextInt(5) == 0 ? 1 + random.nextInt(pieces - 1) : 0);
            return;
        }
        byte[] body = body(job.ask);
        if (spoiling > 0 && random.nextDouble() < spoiling) {
            spoil(job, body);
        } else {
            job.ask.made.add(body);
            answer(job, "HTTP/1.1 200 OK", body);
        }
    }

    /** The next piece of a long answer, of which so many are left; it ends there where as many are kept. */
    private void give(Job job, byte[] whole, int from, int left, int kept) {
        if (left == kept) {
            giving.remove(job.run);
            job.run.giving = false;
            job.run.stoppedAt = world.time.nowNanos();
            return;
        }
        int to = from == 0 ? LONG : from + (whole.length - from) / left;
        byte[] piece = java.util.Arrays.copyOfRange(whole, from, to);
        if (to == whole.length) {
            giving.remove(job.run);
            job.run.giving = false;
            job.line.write(piece, job);
            return;
        }
        job.line.end.write(piece);
        afterwards(random.nextInt(MOST_PAUSE_US), () -> give(job, whole, to, left - 1, kept));
    }

    private void answer(Job job, String start, byte[] body) {
        world.tape.note(Tape.What.REPLY, job.ask.number, body.length);
        job.line.write(Messages.write(start, "", body), job);
    }

    /** Tells whose it is and where it was made, so that no other answer passes for it. */
    private byte[] body(Ask ask) {
        return body(ask, random.nextInt(40) == 0 ? random.nextInt(100_000) : random.nextInt(600));
    }

    private byte[] body(Ask ask, int size) {
        byte[] text = Messages.bytes(ask.txn + " at " + uid + " " + ask.made.size() + " ");
        byte[] body = java.util.Arrays.copyOf(text, text.length + size);
        java.util.Arrays.fill(body, text.length, body.length, (byte) ('a' + ask.number % 26));
        return body;
    }

    /** An answer that cannot be used, or has more with it than is usual. */
    private void spoil(Job job, byte[] body) {
        Line line = job.line;
        byte[] whole = Messages.write("HTTP/1.1 200 OK", "", body);
        switch (random.nextInt(7)) {
            case 0 -> {
                job.run.cut = true;
                line.write(java.util.Arrays.copyOf(whole, random.nextInt(whole.length)), job);
                line.end.close();
            }
            case 1 -> {
                job.run.cut = true;
                line.write(java.util.Arrays.copyOf(whole, random.nextInt(whole.length)), job);
                line.end.abort();
            }
            case 2 -> line.write(Messages.bytes("HTTP/1.1 200 OK\r\nno colon in here\r\n\r\nwhat is this"), job);
            case 3 -> {
                // Sound: the end of the connection ends it (RFC 9112, 6.3).
                job.ask.made.add(Messages.bytes("without a length"));
                line.write(Messages.bytes("HTTP/1.1 200 OK\r\n\r\nwithout a length"), job);
                line.end.close();
            }
            case 4 -> {
                // Sound, behind interim answers.
                job.ask.made.add(body);
                line.end.write(Messages.bytes("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 100 " + "Continue\r\n\r\n"));
                line.write(whole, job);
            }
            case 5 -> {
                // Sound, with something behind it that must not answer the next.
                job.ask.made.add(body);
                byte[] stray = Messages.write("HTTP/1.1 200 OK", "", Messages.bytes("stray"));
                byte[] both = java.util.Arrays.copyOf(whole, whole.length + stray.length);
                System.arraycopy(stray, 0, both, whole.length, stray.length);
                line.busy = false;
                job.run.answerHeard = true;
                // At once: what comes later, nobody could tell from the answer to the next request.
                line.end.writeAtOnce(both);
            }
            default -> {
                // Sound, and its connection ends.
                job.ask.made.add(body);
                line.write(Messages.write("HTTP/1.1 200 OK", "Connection: close\r\n", body), job);
                line.end.close();
            }
        }
    }

    // ---------------------------------------------------------------- what pushes it

    private boolean isPushedOver(Ask ask, NodeHost from) {
        return warmth() < 1
                && world.judge.fallsOver(
                        this,
                        coldWork,
                        ask.workUs,
                        from.knowsStartOf(this),
                        settings.overloadRatio * speed * warmth() * settings.overloadWindowUs);
    }

    private void watchCrowd() {
        long now = world.time.nowUs();
        crowdedSinceUs = waiting.size() < CROWDED ? -1 : crowdedSinceUs < 0 ? now : crowdedSinceUs;
        idleSinceUs = waiting.size() > IDLE ? -1 : idleSinceUs < 0 ? now : idleSinceUs;
        if (!slow && slowBy > 1 && crowdedSinceUs >= 0 && now - crowdedSinceUs > crowdedForUs) {
            slow = true;
            world.fault(this + " turns slow");
        } else if (slow && idleSinceUs >= 0 && now - idleSinceUs > idleForUs) {
            slow = false;
            world.fault(this + " is well again");
        }
    }

    @Override
    public String toString() {
        return uid;
    }
}
