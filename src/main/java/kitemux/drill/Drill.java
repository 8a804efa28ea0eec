package kitemux.drill;

import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.Result;
import kitemux.Balancer.ServerEntry;
import kitemux.drill.Fault.Way;
import kitemux.fleet.ClientTry;
import kitemux.fleet.Fleet;
import kitemux.lab.LongAnswer;
import kitemux.lab.LoopStallMonitor;
import kitemux.lab.LoopbackRun;
import kitemux.lab.ProcessGuard;
import kitemux.lab.RunInterceptor;
import kitemux.sim.Scheduler;

/**
 * Plays a drill: processes of real nodes, servers, discovery and clients on loopback, a way between any two
 * of
 * them that talk, and faults of ways and processes at their times. Judges nothing: what was done and seen
 * goes
 * to a time-line.
 */
public final class Drill {
    /** Ways listen beside those that they lead to: at these ports and the number of the node. */
    private static final int TO_BOX = 24_000;

    private static final int TO_LIST = 25_000;
    private static final int TO_NODE = 26_000;
    /** The machines from which ways dial, so that whoever is dialled sees which node it is. */
    private static final int FROM = 253;

    private static final int CLIENTS_FROM = 100;
    private static final long MOST_OPEN_S = 20;
    /** Between two pieces of a long answer: by any measure its server has not stopped. */
    private static final long PAUSE_US = 50_000;

    private final Scenario scenario;
    private final Parties parties;
    private final int place;
    private final EventLoop loop;
    private final Path file;
    private final Map<Way, Link> links = new LinkedHashMap<>();
    private final Map<Way, List<Link.State>> befalls = new HashMap<>();
    private final AtomicReference<Throwable> failure = new AtomicReference<>();
    private final List<Boolean> nodeUp = new ArrayList<>();
    private final Set<String> silentBoxes = new HashSet<>();
    private final LoopStallMonitor beat;
    private Timeline timeline;
    private LoopbackRun.RunControl live;

    private Drill(Scenario scenario, int place, EventLoop loop, Path file) {
        this.scenario = scenario;
        this.place = place;
        this.loop = loop;
        this.file = file;
        beat = new LoopStallMonitor(loop, by -> live.recordDelay(by));
        parties = new Parties(scenario.fleet());
        for (int n = 0; n < scenario.fleet().nodes().count(); n++) {
            nodeUp.add(true);
        }
    }

    /**
     * Plays one; takes as long as its clients ask, and some seconds more.
     *
     * @param launcher starts the nodes
     * @param timeline the file that is written
     * @throws IOException if a node cannot be started, a socket not be opened or the file not be written
     */
    public static void play(Scenario scenario, LoopbackRun.Launcher launcher, Path timeline)
            throws IOException, InterruptedException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Drill[] drill = new Drill[1];
        try {
            LoopbackRun.execute(
                    scenario.fleet(),
                    scenario.seed(),
                    () -> ProcessGuard.wrap(launcher.nodeCommand()),
                    place -> {
                        drill[0] = new Drill(scenario, place, (EventLoop) group.next(), timeline);
                        return drill[0].new Ways();
                    },
                    null);
            drill[0].end();
        } finally {
            if (drill[0] != null) {
                drill[0].close();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(MOST_OPEN_S, TimeUnit.SECONDS);
        }
    }

    private void close() throws IOException {
        loop.submit(() -> {
                    beat.stop();
                    links.values().forEach(Link::close);
                })
                .syncUninterruptibly();
        if (timeline != null) {
            timeline.close();
        }
    }

    private void end() throws IOException {
        timeline.event("end", json -> json.writeNumberField("late", live.maxDelayUs()));
        if (failure.get() != null) {
            throw new IOException("the drill failed: " + failure.get(), failure.get());
        }
    }

    // ---------------------------------------------------------------- ways

    private InetSocketAddress link(Way way, int node, InetSocketAddress listens, int port) {
        int from = way.from().equals(Parties.CLIENTS) ? CLIENTS_FROM : 0;
        InetSocketAddress near = new InetSocketAddress(listens.getAddress(), port + node);
        InetSocketAddress dialsFrom = new InetSocketAddress("127." + place + "." + FROM + "." + (1 + from + node), 0);
        Link link = new Link(
                loop,
                near,
                listens,
                dialsFrom,
                scenario.seed() * 31 + links.size(),
                e -> failure.compareAndSet(null, e));
        links.put(way, link);
        loop.execute(link::open);
        return near;
    }

    /** Done on the ways' loop, before anything else happens in the run. */
    private void at(Way way, Consumer<Link> what) {
        Link link = links.get(way);
        loop.submit(() -> what.accept(link)).syncUninterruptibly();
    }

    private void awaitOpen() {
        for (Link link : links.values()) {
            try {
                link.opened().get(MOST_OPEN_S, TimeUnit.SECONDS);
            } catch (InterruptedException | ExecutionException | TimeoutException e) {
                failure.compareAndSet(null, e);
            }
        }
    }

    private void befalls(List<Way> ways, Link.State state, boolean begins) {
        Map<Link, Link.State> now = new LinkedHashMap<>();
        for (Way way : ways) {
            List<Link.State> all = befalls.computeIfAbsent(way, of -> new ArrayList<>());
            if (begins) {
                all.add(state);
            } else {
                all.remove(state);
            }
            now.put(links.get(way), all.stream().reduce(Link.State.WELL, Link.State::and));
        }
        // All in one turn of the ways' loop: a wait for each holds up clients and servers for as many turns.
        loop.submit(() -> now.forEach(Link::set)).syncUninterruptibly();
    }

    private void reset(List<Way> ways) {
        List<Link> all = ways.stream().map(links::get).toList();
        loop.submit(() -> all.forEach(Link::reset)).syncUninterruptibly();
    }

    // ---------------------------------------------------------------- faults

    private void begin(Fault fault) {
        tell(fault, "fault");
        Link.State cut = new Link.State(fault.there(), fault.back(), 0, 0, 0);
        switch (fault.what()) {
            case CUT -> befalls(fault.links(), cut, true);
            case SLOW -> befalls(fault.links(), slow(fault), true);
            case FLAP -> flap(fault, cut, live.scheduler().nowUs() + fault.forUs());
            case RESET -> reset(fault.links());
            case KILL -> fault.nodes().forEach(node -> live.emulation().killNode(node));
            case STOP ->
                fault.nodes().forEach(node -> {
                    live.signal(node, "STOP");
                    unseen(node, true);
                });
            case CRASH ->
                fault.nodes().forEach(node -> {
                    befalls(parties.of(node), Link.State.WELL.and(GONE), true);
                    live.vanish(node);
                    unseen(node, true);
                });
        }
        if (fault.what() != Fault.What.RESET) {
            live.scheduler().scheduleAfterUs(fault.forUs(), () -> end(fault));
        }
    }

    private static final Link.State GONE = new Link.State(true, true, 0, 0, 0);

    private static Link.State slow(Fault fault) {
        return new Link.State(false, false, fault.delayUs(), fault.spreadUs(), fault.bytesPerS());
    }

    private void end(Fault fault) {
        switch (fault.what()) {
            case CUT -> befalls(fault.links(), new Link.State(fault.there(), fault.back(), 0, 0, 0), false);
            case SLOW -> befalls(fault.links(), slow(fault), false);
            case KILL -> fault.nodes().forEach(node -> live.emulation().startNode(node));
            case STOP ->
                fault.nodes().forEach(node -> {
                    live.signal(node, "CONT");
                    unseen(node, false);
                });
            case CRASH ->
                fault.nodes().forEach(node -> {
                    // Whoever held a connection to it hears now that nobody is there.
                    reset(parties.of(node));
                    befalls(parties.of(node), GONE, false);
                    live.setReceivesClients(node, false);
                    live.emulation().startNode(node);
                });
            default -> {
                // What flaps ends by its own clock, and what resets is over at once.
            }
        }
        tell(fault, "mended");
    }

    private void flap(Fault fault, Link.State cut, long untilUs) {
        befalls(fault.links(), cut, true);
        Scheduler time = live.scheduler();
        time.scheduleAfterUs(fault.everyUs() / 2, () -> {
            befalls(fault.links(), cut, false);
            if (time.nowUs() + fault.everyUs() / 2 < untilUs) {
                time.scheduleAfterUs(fault.everyUs() / 2, () -> flap(fault, cut, untilUs));
            }
        });
    }

    /** The front notices late that nobody answers there, and at once that somebody does. */
    private void unseen(int node, boolean is) {
        nodeUp.set(node, !is);
        if (!is) {
            live.setReceivesClients(node, true);
            return;
        }
        live.scheduler().scheduleAfterUs(scenario.fleet().nodes().failureDetectionUs(), () -> {
            if (!nodeUp.get(node)) {
                live.setReceivesClients(node, false);
            }
        });
    }

    private void tell(Fault fault, String kind) {
        timeline.event(kind, json -> {
            json.writeStringField("name", fault.name());
            json.writeStringField("what", fault.what().name().toLowerCase(Locale.ROOT));
            json.writeArrayFieldStart("ways");
            List<Way> hit = new ArrayList<>(fault.links());
            if (fault.what() == Fault.What.CRASH) {
                fault.nodes().forEach(node -> hit.addAll(parties.of(node)));
            }
            for (Way way : hit) {
                json.writeString(way.toString());
            }
            json.writeEndArray();
            json.writeArrayFieldStart("nodes");
            for (int node : fault.nodes()) {
                json.writeNumber(node);
            }
            json.writeEndArray();
            json.writeNumberField("delay", fault.delayUs() + fault.spreadUs());
        });
    }

    // ---------------------------------------------------------------- what is seen

    private void describe(JsonGenerator json) throws IOException {
        Fleet fleet = scenario.fleet();
        json.writeNumberField("seed", scenario.seed());
        json.writeNumberField("nodes", fleet.nodes().count());
        json.writeNumberField("length", fleet.load().durationUs());
        json.writeNumberField("grace", fleet.discoveryDelays().drainGraceUs());
        json.writeNumberField("repeatGrace", scenario.repeatUs());
        json.writeNumberField("meanWork", Math.round(fleet.meanWorkUs()));
        json.writeNumberField("handshake", fleet.links().handshakeWorkUs());
        json.writeArrayFieldStart("boxes");
        for (Fleet.ServerKind kind : fleet.kinds()) {
            for (int i = 0; i < kind.count(); i++) {
                json.writeStartObject();
                json.writeStringField("id", kind.name() + "-" + i);
                json.writeNumberField("rack", parties.rack(kind.name() + "-" + i));
                json.writeNumberField("cores", kind.cores());
                json.writeNumberField("speed", kind.speed());
                json.writeNumberField("coldFrom", kind.initialCapacityRatio());
                json.writeNumberField("cold", kind.warmUpUs());
                json.writeEndObject();
            }
        }
        json.writeEndArray();
        json.writeArrayFieldStart("classes");
        for (Fleet.ClassWorkload work : fleet.classes()) {
            RequestClass of = work.requestClass();
            json.writeStartObject();
            json.writeStringField("name", of.name());
            json.writeStringField("repeat", of.retrySafety().name());
            json.writeStringField("group", of.dedupScope().name());
            json.writeNumberField("aim", of.targetLatencyUs());
            json.writeNumberField("window", of.dedupWindowUs());
            json.writeNumberField("worth", of.worth());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeArrayFieldStart("phases");
        for (Scenario.Phase phase : scenario.phases()) {
            json.writeStartObject();
            json.writeStringField("name", phase.name());
            json.writeNumberField("from", phase.fromUs());
            json.writeNumberField("to", phase.toUs());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeObjectFieldStart("bounds");
        json.writeNumberField("attempts", scenario.bounds().attempts());
        json.writeNumberField("dials", scenario.bounds().dials());
        json.writeNumberField("calls", scenario.bounds().calls());
        json.writeEndObject();
    }

    private static int nodeOf(InetSocketAddress from) {
        return (from.getAddress().getAddress()[3] & 0xff) - 1;
    }

    private final class Ways implements RunInterceptor {
        @Override
        public InetSocketAddress nodeAddress(int node, InetSocketAddress listens) {
            return link(new Way(Parties.CLIENTS, Parties.node(node)), node, listens, TO_NODE);
        }

        @Override
        public InetSocketAddress boxAddress(int node, String box, InetSocketAddress listens) {
            return link(new Way(Parties.node(node), box), node, listens, TO_BOX);
        }

        @Override
        public InetSocketAddress discoveryAddress(int node, InetSocketAddress listens) {
            return link(new Way(Parties.node(node), Parties.LIST), node, listens, TO_LIST);
        }

        @Override
        public void runStarted(LoopbackRun.RunControl run) {
            live = run;
            awaitOpen();
            try {
                timeline = new Timeline(file, () -> run.scheduler().nowUs());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            timeline.event("begin", Drill.this::describe);
            loop.execute(beat::start);
            for (Fault fault : scenario.faults()) {
                run.scheduler().scheduleAfterUs(fault.atUs(), () -> Drill.this.begin(fault));
            }
        }

        private boolean began() {
            return timeline != null;
        }

        @Override
        public void runAfterPendingTraffic(Runnable then) {
            LoopStallMonitor.runAfterSocketPoll(loop, then);
        }

        @Override
        public long totalStallNanos() {
            return beat.totalStallNanos();
        }

        @Override
        public void runDelayed(long byUs) {
            timeline.event("late", json -> json.writeNumberField("by", byUs));
        }

        @Override
        public void nodeStarted(int node) {
            at(new Way(Parties.CLIENTS, Parties.node(node)), link -> link.targetListens(true));
            timeline.event("up", json -> json.writeNumberField("node", node));
        }

        @Override
        public void nodeStopped(int node) {
            at(new Way(Parties.CLIENTS, Parties.node(node)), link -> link.targetListens(false));
            timeline.event("down", json -> json.writeNumberField("node", node));
        }

        @Override
        public void nodeOutput(int node, String line) {
            if (began()) {
                timeline.event("said", json -> {
                    json.writeNumberField("node", node);
                    json.writeStringField("line", line);
                });
            }
        }

        @Override
        public void trySubmitted(int node, ClientTry one) {
            timeline.event("ask", json -> {
                json.writeStringField("txn", one.txn());
                json.writeNumberField("wish", one.requestNumber());
                json.writeNumberField("class", one.classIndex());
                json.writeNumberField("node", node);
                json.writeNumberField("left", one.remainingUs());
            });
        }

        @Override
        public LongAnswer longAnswer(String box, ClientTry one) {
            Scenario.LongAnswers of = scenario.longAnswers();
            // By the try and the server, so that it does not hang on what came before.
            SplittableRandom draws =
                    new SplittableRandom(scenario.seed() * 31 + one.txn().hashCode() + 31L * box.hashCode());
            if (draws.nextDouble() >= of.share()) {
                return null;
            }
            int pieces = (int) Math.max(1, of.lastsUs() / PAUSE_US);
            return new LongAnswer(pieces, PAUSE_US, draws.nextDouble() < of.stops() ? draws.nextInt(pieces) : pieces);
        }

        @Override
        public void longAnswerStarted(String box, ClientTry one) {
            timeline.event("gives", json -> {
                json.writeStringField("box", box);
                json.writeStringField("txn", one.txn());
            });
        }

        @Override
        public void longAnswerEnded(String box, ClientTry one, LongAnswer.End how) {
            timeline.event("gave", json -> {
                json.writeStringField("box", box);
                json.writeStringField("txn", one.txn());
                json.writeStringField("how", how.name());
            });
        }

        @Override
        public void longAnswerReceiving(ClientTry one) {
            of("begun", one);
        }

        @Override
        public void longAnswerCutOff(ClientTry one) {
            of("cut-off", one);
        }

        private void of(String kind, ClientTry one) {
            timeline.event(kind, json -> json.writeStringField("txn", one.txn()));
        }

        @Override
        public void tryWritten(ClientTry one, boolean usedBefore) {
            of("written", one);
        }

        @Override
        public void connectionLost(ClientTry one, boolean usedBefore) {
            timeline.event("broken", json -> {
                json.writeStringField("txn", one.txn());
                json.writeBooleanField("again", usedBefore);
            });
        }

        @Override
        public void answerReceived(ClientTry one, int status, long retryAfterUs) {
            timeline.event("answer", json -> {
                json.writeStringField("txn", one.txn());
                json.writeNumberField("status", status);
                json.writeNumberField("after", retryAfterUs);
            });
        }

        @Override
        public void tryAbandoned(ClientTry one) {
            of("left", one);
        }

        @Override
        public void boxConnected(String box, InetSocketAddress from) {
            timeline.event("dial", json -> {
                json.writeStringField("box", box);
                json.writeNumberField("node", nodeOf(from));
            });
        }

        @Override
        public void requestReceived(String box, InetSocketAddress from, ClientTry one, boolean runs) {
            timeline.event("try", json -> {
                json.writeStringField("box", box);
                json.writeNumberField("node", nodeOf(from));
                json.writeStringField("txn", one.txn());
                json.writeBooleanField("runs", runs);
                json.writeNumberField("work", Math.round(one.actualWorkUs()));
            });
        }

        @Override
        public void requestCompleted(String box, ClientTry one, Result result) {
            timeline.event("told", json -> {
                json.writeStringField("box", box);
                json.writeStringField("txn", one.txn());
                json.writeStringField("result", result.name());
            });
        }

        @Override
        public void boxStateChanged(String box, boolean up, boolean silent) {
            if (!began()) {
                return;
            }
            List<Way> ways = new ArrayList<>();
            for (int node = 0; node < scenario.fleet().nodes().count(); node++) {
                ways.add(new Way(Parties.node(node), box));
            }
            if (silent && silentBoxes.add(box)) {
                befalls(ways, GONE, true);
            } else if (!silent) {
                List<Link> all = ways.stream().map(links::get).toList();
                loop.submit(() -> all.forEach(link -> link.targetListens(up))).syncUninterruptibly();
                if (silentBoxes.remove(box)) {
                    // Whoever still holds a connection hears that nobody knows of it.
                    reset(ways);
                    befalls(ways, GONE, false);
                }
            }
            timeline.event("box", json -> {
                json.writeStringField("box", box);
                json.writeStringField("state", up ? "up" : silent ? "silent" : "down");
            });
        }

        @Override
        public void discoveryUpdateSent(int node, List<ServerEntry> entries) {
            timeline.event("list", json -> {
                json.writeNumberField("node", node);
                json.writeObjectFieldStart("states");
                for (ServerEntry entry : entries) {
                    json.writeStringField(entry.id(), entry.state().name());
                }
                json.writeEndObject();
            });
        }

        @Override
        public void discoveryRequested(int node, boolean watch) {
            if (began()) {
                timeline.event("call", json -> {
                    json.writeNumberField("node", node);
                    json.writeBooleanField("watch", watch);
                });
            }
        }
    }
}
