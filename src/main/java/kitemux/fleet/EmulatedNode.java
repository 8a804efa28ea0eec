package kitemux.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import kitemux.Balancer;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Result;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import kitemux.ServiceQBalancer;
import kitemux.engine.Engine;
import kitemux.engine.Log;
import kitemux.engine.Observer;
import kitemux.engine.SendGate;
import kitemux.engine.Time;
import kitemux.engine.Transport;
import kitemux.sim.Scheduler;

/**
 * A node: the engine and the decision module that serve in earnest, over connections to emulated servers. Its
 * processor is a queue of its own: what comes while it is busy is handled later.
 */
final class EmulatedNode implements Transport<ClientTry, Boolean>, FleetNode {
    private final int number;
    private final Fleet fleet;
    private final Scheduler time;
    private final Map<String, Box> boxes;
    private final RuleChecker rules;
    private final NetworkPartitions cuts;
    private final RandomStream network;
    private final Settings settings;
    private final RandomStream seeds;
    private final long unixUs;
    private final BalancerFactory modules;

    /** Makes the decision module of a process. */
    interface BalancerFactory {
        /** The one that serves in earnest, but where a test puts an unsound one in its place. */
        BalancerFactory DEFAULT = ServiceQBalancer::new;

        /** A module that knows no servers yet. */
        Balancer create(Settings settings, long seed, Balancer.Actions actions);
    }

    private Engine<ClientTry, Boolean> engine;
    private Balancer module;
    private final Map<String, Link> links = new HashMap<>();
    /** The list as it was told, for who starts anew, and when it was told of drains. */
    private final Map<String, ServerEntry> told = new HashMap<>();

    private final Map<String, Long> drainToldUs = new HashMap<>();
    private final Map<ClientTry, Engine.Held<ClientTry, Boolean>> open = new HashMap<>();
    private int life;
    private boolean up;
    private double freeAtUs;
    private double usedUs;
    private double mostLateUs;
    private long attempts;
    private long dials;

    /** Connections to one server that are not in use: to which of its processes, and since when. */
    private static final class Link {
        final ArrayDeque<long[]> idle = new ArrayDeque<>();
        final Map<Exchange<ClientTry, Boolean>, Sent> out = new HashMap<>();
    }

    /** An exchange that is out, over a connection to a process of its server; not yet written where -1. */
    private final class Sent implements Box.ReplyHandler {
        final Box box;
        final Exchange<ClientTry, Boolean> exchange;
        final int ofLife = life;
        int process = -1;
        boolean written;
        boolean over;

        Sent(Box box, Exchange<ClientTry, Boolean> exchange) {
            this.box = box;
            this.exchange = exchange;
        }

        @Override
        public void completed(Result result) {
            if (!isCutOff(box)) {
                time.afterUs(oneWayUs(box), () -> handle(ofLife, () -> end(result)));
            }
        }

        @Override
        public boolean isAwaited() {
            return !over;
        }

        @Override
        public boolean isSenderAwareOfStart() {
            ServerEntry entry = told.get(box.id);
            return entry != null && entry.startedAtUs() >= unixUs + box.startedAtUs();
        }

        void end(Result result) {
            if (over) {
                return;
            }
            over = true;
            Link link = links.get(box.id);
            link.out.remove(exchange);
            if (process == box.incarnation() && result != Result.RESET && result != Result.CONNECT_FAILED) {
                link.idle.push(new long[] {process, time.nowUs()});
            } else if (process >= 0) {
                box.connectionClosed(process);
            }
            exchange.ended(result, result == Result.OK ? Boolean.TRUE : null);
        }
    }

    EmulatedNode(
            int number,
            Fleet fleet,
            Scheduler time,
            Map<String, Box> boxes,
            RuleChecker rules,
            NetworkPartitions cuts,
            Settings settings,
            RandomStream network,
            RandomStream seeds,
            long unixUs,
            BalancerFactory modules) {
        this.number = number;
        this.fleet = fleet;
        this.time = time;
        this.boxes = boxes;
        this.rules = rules;
        this.cuts = cuts;
        this.settings = settings;
        this.network = network;
        this.seeds = seeds;
        this.unixUs = unixUs;
        this.modules = modules;
    }

    // ---------------------------------------------------------------- its life

    @Override
    public boolean isUp() {
        return up;
    }

    @Override
    public void start() {
        up = true;
        life++;
        freeAtUs = time.nowUs();
        int mine = life;
        Time clock = new Time() {
            @Override
            public long nowUs() {
                return unixUs + time.nowUs();
            }

            @Override
            public Timer after(long us, Runnable task) {
                Scheduler.Event event = time.afterUs(us, () -> {
                    if (mine == life) {
                        task.run();
                    }
                });
                return event::cancel;
            }
        };
        engine = new Engine<>(
                settings.maxAttempts,
                clock,
                this,
                () -> {},
                Observer.NONE,
                SendGate.open(),
                new Log() {
                    @Override
                    public void line(String text) {}

                    @Override
                    public void error(String what, Throwable cause) {
                        throw new IllegalStateException("node " + number + ": " + what, cause);
                    }
                },
                actions -> {
                    module = modules.create(settings, seeds.nextLong(), actions);
                    return module;
                });
        engine.listed(ListKind.CACHED, new ArrayList<>(told.values()), () -> {});
    }

    @Override
    public void kill() {
        up = false;
        life++;
        engine.close();
        for (Map.Entry<String, Link> link : links.entrySet()) {
            Box box = boxes.get(link.getKey());
            link.getValue().idle.forEach(idle -> box.connectionClosed((int) idle[0]));
            link.getValue().out.values().forEach(sent -> {
                sent.over = true;
                if (sent.process >= 0) {
                    box.connectionClosed(sent.process);
                }
            });
        }
        links.clear();
        List<ClientTry> lost = new ArrayList<>(open.keySet());
        lost.sort((a, b) -> Long.compare(a.tracked().number, b.tracked().number));
        open.clear();
        lost.forEach(ClientTry::broken);
    }

    @Override
    public void serversChanged(List<ServerEntry> entries) {
        for (ServerEntry entry : entries) {
            if (entry.state() == ServerState.GONE) {
                told.remove(entry.id());
            } else {
                told.put(entry.id(), entry);
            }
            if (entry.state() == ServerState.READY) {
                drainToldUs.remove(entry.id());
            } else {
                drainToldUs.putIfAbsent(entry.id(), time.nowUs());
            }
        }
        if (up) {
            handle(life, () -> engine.listed(ListKind.CHANGES, entries, () -> {}));
        }
    }

    // ---------------------------------------------------------------- its processor

    /** Runs what an event asks for, once the processor is free, unless the process has ended by then. */
    private void handle(int ofLife, Runnable what) {
        if (ofLife != life) {
            return;
        }
        double cost = fleet.nodes().eventCostUs() / fleet.nodes().cores();
        double now = time.nowUs();
        double lateUs = Math.max(0, freeAtUs - now);
        freeAtUs = now + lateUs + cost;
        usedUs += cost;
        mostLateUs = Math.max(mostLateUs, lateUs);
        if (lateUs < 1) {
            what.run();
        } else {
            time.afterUs((long) lateUs, () -> {
                if (ofLife == life) {
                    what.run();
                }
            });
        }
    }

    // ---------------------------------------------------------------- clients

    @Override
    public void submit(ClientTry asked) {
        int mine = life;
        open.put(asked, null);
        handle(mine, () -> {
            if (asked.isOver()) {
                open.remove(asked);
                return;
            }
            Engine.Held<ClientTry, Boolean> held = engine.take(asked, asked);
            open.put(asked, held);
            engine.ask(held);
        });
    }

    @Override
    public void completed(ClientTry asked) {
        open.remove(asked);
    }

    @Override
    public void abandoned(ClientTry asked) {
        handle(life, () -> {
            Engine.Held<ClientTry, Boolean> held = open.remove(asked);
            if (held != null) {
                engine.left(held);
            }
        });
    }

    @Override
    public Stats stats() {
        return new Stats(usedUs, mostLateUs, attempts, dials);
    }

    // ---------------------------------------------------------------- servers

    private long oneWayUs(Box box) {
        long acrossUs = box.zone() == settings.myZone ? 0 : fleet.zones().crossZoneDelayUs();
        return Math.max(
                1,
                (long) network.lognormal(fleet.links().oneWayUs(), fleet.links().jitter()) + acrossUs);
    }

    /** What is sent now does not arrive, either way. */
    private boolean isCutOff(Box box) {
        return cuts.isPartitioned(box.zone(), settings.myZone);
    }

    @Override
    public void start(String serverId, Exchange<ClientTry, Boolean> exchange) {
        Box box = boxes.get(serverId);
        Link link = links.computeIfAbsent(serverId, id -> new Link());
        Sent sent = new Sent(box, exchange);
        link.out.put(exchange, sent);
        Long drain = drainToldUs.get(serverId);
        if (drain != null && time.nowUs() > drain + fleet.discoveryDelays().drainGraceUs()) {
            rules.sentWhileDraining(box);
        }
        long oldest = time.nowUs() - fleet.links().idleTimeoutUs();
        while (!link.idle.isEmpty()
                && (link.idle.peekLast()[1] <= oldest || link.idle.peekLast()[0] != box.incarnation())) {
            box.connectionClosed((int) link.idle.pollLast()[0]);
        }
        if (!link.idle.isEmpty() && box.isUp()) {
            sent.process = (int) link.idle.pop()[0];
            write(sent, 0);
        } else {
            dial(sent);
        }
    }

    private void dial(Sent sent) {
        dials++;
        long rttUs = 2 * oneWayUs(sent.box);
        boolean unheard = sent.box.isSilent() || isCutOff(sent.box);
        if (unheard || !sent.box.isUp() || !sent.box.connect()) {
            long knownUs = unheard ? fleet.links().connectTimeoutUs() : rttUs;
            time.afterUs(knownUs, () -> handle(sent.ofLife, () -> sent.end(Result.CONNECT_FAILED)));
            return;
        }
        sent.process = sent.box.incarnation();
        time.afterUs(rttUs * fleet.links().handshakeRtts(), () -> {
            if (!sent.over && sent.ofLife == life) {
                if (sent.process == sent.box.incarnation()) {
                    write(sent, fleet.links().handshakeWorkUs());
                } else {
                    handle(sent.ofLife, () -> sent.end(Result.CONNECT_FAILED));
                }
            }
        });
    }

    private void write(Sent sent, long extraUs) {
        attempts++;
        sent.written = true;
        ClientTry asked = sent.exchange.request();
        long now = time.nowUs();
        if (!isCutOff(sent.box)) {
            time.afterUs(oneWayUs(sent.box), () -> sent.box.submit(asked, extraUs, now, sent));
        }
    }

    @Override
    public boolean withdraw(String serverId, Exchange<ClientTry, Boolean> exchange) {
        Link link = links.get(serverId);
        Sent sent = link == null ? null : link.out.get(exchange);
        return sent != null && !sent.written && !giveUp(serverId, exchange);
    }

    @Override
    public boolean giveUp(String serverId, Exchange<ClientTry, Boolean> exchange) {
        Link link = links.get(serverId);
        Sent sent = link == null ? null : link.out.remove(exchange);
        if (sent == null) {
            return false;
        }
        sent.over = true;
        if (sent.process >= 0) {
            // Only the end of its connection calls an exchange off.
            sent.box.connectionClosed(sent.process);
        }
        return sent.written;
    }

    @Override
    public ClientTry probe() {
        throw new IllegalStateException("the module asks for no probes");
    }

    @Override
    public String endpoint(String serverId) {
        return serverId;
    }

    @Override
    public void closeIdle(String serverId) {
        Link link = links.get(serverId);
        if (link != null) {
            link.idle.forEach(idle -> boxes.get(serverId).connectionClosed((int) idle[0]));
            link.idle.clear();
        }
    }
}
