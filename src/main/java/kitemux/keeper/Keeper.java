package kitemux.keeper;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import kitemux.disk.Disk;
import kitemux.engine.Clock;
import kitemux.engine.Log;
import kitemux.net.Network;
import kitemux.rollout.Change;
import kitemux.rollout.Effect;
import kitemux.rollout.Inventory;
import kitemux.rollout.Inventory.Row;
import kitemux.rollout.KeeperStateMachine;
import kitemux.rollout.Outcome;
import kitemux.rollout.ProtocolParameters;
import kitemux.rollout.Report;
import kitemux.rollout.Request;
import kitemux.rollout.Response;
import kitemux.rollout.RolloutText;
import kitemux.rollout.Rules;
import kitemux.rollout.ValidationError;
import kitemux.rollout.Voter;

/**
 * A keeper: carries the effects of its {@link KeeperStateMachine} to sockets and to its folder. All but the
 * folder's writes is on one event loop.
 */
public final class Keeper {
    private static final byte[] NOTHING = new byte[0];
    /** Looks for silent watches in the time after which one is. */
    private static final int SWEEPS = 10;

    private final KeeperSettings settings;
    private final ProtocolParameters terms;
    private final EventLoop loop;
    private final Clock time;
    private final Log log;
    private final Consumer<Exception> failed;
    private final Voter me;
    private final KeeperStateMachine machine;
    private final RecordWriter writer;
    private final KeeperServer server;
    private final KeeperCalls calls;
    private final Watches watches;
    /** Whoever waits for an answer of this keeper's vote or history, by the number of the call. */
    private final Map<Long, Consumer<Response>> asked = new HashMap<>();
    /** Operators that wait for what becomes of a change. */
    private final Map<Long, KeeperServer.Call> changes = new HashMap<>();

    private final ArrayDeque<Effect> effects = new ArrayDeque<>();
    private boolean carrying;
    private long lastCall;
    private long faultyCalls;
    private long diskBehind;
    private Clock.Timer timer;
    private Clock.Timer sweeper;
    private boolean stopped;
    private String stood = "";

    /** What a keeper stands on: one event loop, its channels, its time, and lines for operators. */
    public record Environment(EventLoop loop, Network network, Clock clock, Log log) {}

    private Keeper(
            KeeperSettings settings,
            ProtocolParameters terms,
            Rules rules,
            Environment on,
            KeeperFolder folder,
            long seed,
            Consumer<Exception> failed) {
        this.settings = settings;
        this.terms = terms;
        loop = on.loop();
        time = on.clock();
        log = on.log();
        me = new Voter(settings.number(), folder.identity());
        machine = new KeeperStateMachine(
                terms,
                me,
                settings.keeperAddresses().size(),
                settings.initialVoters(),
                rules,
                folder.found(),
                seed,
                time.nowUs());
        this.failed = failed;
        writer = new RecordWriter(folder, loop, failed);
        server = new KeeperServer(loop, this::call);
        calls = new KeeperCalls(loop, on.network(), settings.keeperAddresses());
        watches = new Watches(watch -> {
            machine.watchEnded(watch);
            arm();
        });
    }

    /**
     * Reads a folder, and is ready to listen.
     *
     * @param disk the folder, which nobody else writes to
     * @param random for identities of folders, and for what is drawn
     * @param failed told, on the loop or on the writer's thread, where it cannot go on, as where the folder
     *     cannot be written any more: the process has to end
     * @throws IOException if the folder cannot be read or written, or is another keeper's
     */
    public static Keeper open(
            KeeperSettings settings,
            ProtocolParameters terms,
            Rules rules,
            Environment on,
            Disk disk,
            LongSupplier random,
            Consumer<Exception> failed)
            throws IOException {
        KeeperFolder folder = KeeperFolder.open(disk, settings.number(), random, on.log()::info);
        return new Keeper(settings, terms, rules, on, folder, random.getAsLong(), failed);
    }

    /**
     * Makes a folder for a keeper, where it has none yet.
     *
     * @return the voter as settings name it, number and identity
     * @throws IOException if it cannot be read or written, or is another keeper's
     */
    public static String initializeFolder(Disk disk, int number, LongSupplier random, Log log) throws IOException {
        KeeperFolder folder = KeeperFolder.open(disk, number, random, log::info);
        folder.close();
        return new Voter(number, folder.identity()).toString();
    }

    /** Its number and the identity of its folder. */
    public Voter voter() {
        return me;
    }

    /** Listens; the future is done once it can be called. */
    public ChannelFuture listen() {
        loop.execute(() -> {
            tick();
            sweep();
        });
        return server.listen(settings.listenAddress());
    }

    /** Lets go of all sockets and timers at once; answers that wait are never given. */
    void stop() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            stopped = true;
            if (timer != null) {
                timer.cancel();
            }
            if (sweeper != null) {
                sweeper.cancel();
            }
            server.close();
            calls.close();
            done.countDown();
        });
        done.await();
    }

    /** Ends it; what was to be written is. Not to be called on the loop. */
    public void close() throws InterruptedException {
        stop();
        writer.close();
    }

    // ---------------------------------------------------------------- effects

    /** Something has happened to the machine. A defect is its end: half an event must not be gone on from. */
    private void happened(Supplier<List<Effect>> event) {
        try {
            carry(event.get());
        } catch (RuntimeException e) {
            log.error("keeper " + me, e);
            failed.accept(e);
        }
    }

    /** In their order, also where one of them brings further ones about. */
    private void carry(List<Effect> more) {
        if (stopped) {
            return;
        }
        effects.addAll(more);
        if (carrying) {
            return;
        }
        carrying = true;
        try {
            for (Effect next = effects.poll(); next != null; next = effects.poll()) {
                carry(next);
            }
        } finally {
            carrying = false;
        }
        if (writer.takeIsLong()) {
            writer.renew(machine.toRecords());
        }
        tellWhereItStands();
        arm();
    }

    private void carry(Effect effect) {
        if (effect instanceof Effect.Send send) {
            send(send.to(), send.request());
        } else if (effect instanceof Effect.Reply reply) {
            Consumer<Response> waiting = asked.remove(reply.call());
            if (waiting != null) {
                waiting.accept(reply.answer());
            }
        } else if (effect instanceof Effect.Persist write) {
            writer.write(write.entry(), () -> happened(write::then));
        } else if (effect instanceof Effect.CompleteChange conclude) {
            faultyCalls += conclude.outcome() instanceof Outcome.Invalid ? 1 : 0;
            changes.remove(conclude.call()).answer(status(conclude.outcome()), RolloutText.write(conclude.outcome()));
        } else if (effect instanceof Effect.SendEvent tell) {
            watches.tell(tell.watch(), tell.event());
        } else if (!(effect instanceof Effect.RejectWatch)) {
            // Those of a node.
            throw new IllegalStateException("no effect of a keeper: " + effect);
        }
    }

    private static int status(Outcome outcome) {
        return outcome instanceof Outcome.Committed
                ? 200
                : outcome instanceof Outcome.Invalid
                        ? 400
                        : outcome instanceof Outcome.Conflict
                                ? 409
                                : outcome instanceof Outcome.Unavailable ? 503 : 504;
    }

    private void send(int to, Request request) {
        if (to == me.keeper()) {
            loop.execute(() -> ask(request, answer -> answered(to, answer)));
            return;
        }
        calls.post(to, "/rollout/" + kind(request), RolloutText.write(request), body -> {
            if (body == null || stopped) {
                return;
            }
            RolloutText.ParseResult<Response> answer = RolloutText.readResponse(body);
            if (answer.value() instanceof Response.Versions known
                    && known.versions().size() > ProtocolParameters.MAX_RESPONSE_VERSION_COUNT) {
                log.info("keeper " + to + ": its answer has " + known.versions().size() + " versions; "
                        + ProtocolParameters.MAX_RESPONSE_VERSION_COUNT + " are allowed");
            } else if (answer.errors().isEmpty()) {
                answered(to, answer.value());
            } else {
                log.info("keeper " + to + ": its answer cannot be read: "
                        + answer.errors().get(0));
            }
        });
    }

    private static String kind(Request request) {
        return request instanceof Request.Prepare
                ? "prepare"
                : request instanceof Request.Accept ? "accept" : request instanceof Request.Chosen ? "chosen" : "ask";
    }

    /** What comes while the disk is behind is as lost: each answer may be written, and room is bounded. */
    private boolean hasRoom() {
        if (!writer.hasRoom()) {
            diskBehind++;
            return false;
        }
        return !stopped;
    }

    private void answered(int from, Response answer) {
        if (hasRoom()) {
            happened(() -> machine.handleResponse(time.nowUs(), from, answer));
        }
    }

    private void ask(Request request, Consumer<Response> answered) {
        if (hasRoom()) {
            asked.put(++lastCall, answered);
            happened(() -> machine.handleRequest(time.nowUs(), lastCall, request));
        }
    }

    private void tick() {
        timer = null;
        happened(() -> machine.tick(time.nowUs()));
    }

    private void sweep() {
        if (!stopped) {
            watches.endSilent(time.nowUs() - terms.reportTimeoutUs());
            sweeper = time.schedule(terms.reportTimeoutUs() / SWEEPS, this::sweep);
        }
    }

    private void arm() {
        if (timer != null) {
            timer.cancel();
        }
        if (!stopped) {
            timer = time.schedule(Math.max(0, machine.nextAtUs() - time.nowUs()), this::tick);
        }
    }

    /** A line for operators when it changes whether it serves. */
    private void tellWhereItStands() {
        String stands = !machine.isCaughtUp()
                ? "serves nobody until it has heard a majority of the voters"
                : machine.lacksQuorum() ? "hears no majority of the voters: no change can be made here" : "serves";
        if (!stands.equals(stood)) {
            stood = stands;
            log.info("keeper " + me + " " + stands + "; version "
                    + machine.history().rev());
        }
    }

    // ---------------------------------------------------------------- calls

    private void call(KeeperServer.Call call) {
        if (stopped) {
            return;
        }
        String path = call.path();
        String method =
                switch (path) {
                    case "/rollout/watch", "/rollout/status", "/rollout/inventory" -> "GET";
                    case "/rollout/change",
                            "/rollout/report",
                            "/rollout/prepare",
                            "/rollout/accept",
                            "/rollout/chosen",
                            "/rollout/ask" -> "POST";
                    default -> "";
                };
        if (!call.method().equals(method)) {
            faultyCalls++;
            call.answer(
                    method.isEmpty() ? 404 : 405,
                    StatusText.fault(path, method.isEmpty() ? "is not known here" : "is called by " + method));
            return;
        }
        switch (path) {
            case "/rollout/watch" -> watch(call);
            case "/rollout/status" -> status(call);
            case "/rollout/inventory" -> call.answer(200, RolloutText.writeRows(rows()));
            case "/rollout/change" -> change(call);
            case "/rollout/report" -> report(call);
            default -> request(call, path.substring("/rollout/".length()));
        }
    }

    private void faulty(KeeperServer.Call call, List<ValidationError> faults) {
        faultyCalls++;
        call.answer(400, StatusText.faults(faults));
    }

    private void change(KeeperServer.Call call) {
        RolloutText.ParseResult<Change> read = RolloutText.readChange(call.body());
        if (!read.errors().isEmpty()) {
            faulty(call, read.errors());
        } else if (!hasRoom()) {
            call.answer(503, StatusText.reason("the disk of this keeper is behind"));
        } else {
            changes.put(++lastCall, call);
            happened(() -> machine.proposeChange(time.nowUs(), lastCall, read.value()));
        }
    }

    private void request(KeeperServer.Call call, String kind) {
        RolloutText.ParseResult<Request> read = RolloutText.readRequest(call.body());
        if (!read.errors().isEmpty()) {
            faulty(call, read.errors());
        } else if (!kind(read.value()).equals(kind)) {
            faulty(call, List.of(new ValidationError("kind", "is not " + kind + ", as the path is")));
        } else if (!hasRoom()) {
            call.answer(503, StatusText.reason("the disk of this keeper is behind"));
        } else {
            ask(read.value(), answer -> call.answer(200, RolloutText.write(answer)));
        }
    }

    private void report(KeeperServer.Call call) {
        RolloutText.ParseResult<Report> read = RolloutText.readReport(call.body());
        if (!read.errors().isEmpty()) {
            faulty(call, read.errors());
        } else if (read.value().node() >= settings.nodeCount()) {
            faulty(call, List.of(new ValidationError("node", "is not from 0 to " + (settings.nodeCount() - 1))));
        } else {
            machine.handleReport(time.nowUs(), read.value());
            watches.reported(read.value().node(), time.nowUs());
            call.answer(204, NOTHING);
        }
    }

    /** Fields behind a path: whole numbers, each once, and no others. */
    private static final class Query {
        private final Map<String, List<String>> given;
        final List<ValidationError> faults = new ArrayList<>();

        Query(KeeperServer.Call call, List<String> known) {
            given = call.query();
            given.keySet().stream()
                    .filter(name -> !known.contains(name))
                    .sorted()
                    .forEach(name -> faults.add(
                            new ValidationError(name, "is not known; known are " + String.join(", ", known))));
        }

        long whole(String name, long otherwise, long most) {
            List<String> values = given.getOrDefault(name, List.of());
            if (values.isEmpty()) {
                if (otherwise < 0) {
                    faults.add(new ValidationError(name, "is missing"));
                }
                return otherwise;
            }
            long value = -1;
            try {
                value = values.size() == 1 ? Long.parseLong(values.get(0)) : -1;
            } catch (NumberFormatException e) {
                // Told below.
            }
            if (value < 0 || value > most) {
                faults.add(new ValidationError(name, "is not a whole number from 0 to " + most));
            }
            return value;
        }
    }

    private void watch(KeeperServer.Call call) {
        Query query = new Query(call, List.of("after", "life", "node"));
        long after = query.whole("after", -1, Long.MAX_VALUE - 1);
        long node = query.whole("node", -1, settings.nodeCount() - 1L);
        query.whole("life", -1, Long.MAX_VALUE);
        if (!query.faults.isEmpty()) {
            faulty(call, query.faults);
            return;
        }
        long watch = ++lastCall;
        List<Effect> told = machine.openWatch(time.nowUs(), watch, after);
        if (told.stream().anyMatch(effect -> effect instanceof Effect.RejectWatch r && r.watch() == watch)) {
            told.stream()
                    .filter(effect -> effect instanceof Effect.RejectWatch)
                    .forEach(effect -> call.answer(503, StatusText.reason(((Effect.RejectWatch) effect).reason())));
        } else {
            watches.begin(watch, (int) node, call, time.nowUs());
        }
        happened(() -> told);
    }

    private List<Row> rows() {
        return machine.inventory().rows(time.nowUs());
    }

    /** Asks all keepers what their nodes reported; one that does not answer is named. */
    private void status(KeeperServer.Call call) {
        Query query = new Query(call, List.of("rev"));
        long newest = machine.history().rev();
        long rev = query.whole("rev", newest, newest);
        if (!query.faults.isEmpty()) {
            faulty(call, query.faults);
            return;
        }
        List<List<Row>> all = new ArrayList<>(List.of(rows()));
        List<Integer> notHeard = new ArrayList<>();
        int[] left = {settings.keeperAddresses().size()};
        Runnable one = () -> {
            if (--left[0] == 0 && !stopped) {
                tellStatus(call, rev, Inventory.merge(all), notHeard);
            }
        };
        for (int keeper = 0; keeper < settings.keeperAddresses().size(); keeper++) {
            int from = keeper;
            if (from == me.keeper()) {
                one.run();
                continue;
            }
            calls.get(from, "/rollout/inventory", body -> {
                RolloutText.ParseResult<List<Row>> read = body == null ? null : RolloutText.readRows(body);
                if (read != null && read.errors().isEmpty()) {
                    all.add(read.value());
                } else {
                    notHeard.add(from);
                }
                one.run();
            });
        }
    }

    private void tellStatus(KeeperServer.Call call, long rev, Map<Integer, Row> rows, List<Integer> notHeard) {
        SortedMap<String, Long> figures = new TreeMap<>();
        figures.put("watches", (long) machine.openWatches());
        figures.put("watches_refused", machine.rejectedWatches());
        figures.put("watches_unread", watches.unread());
        figures.put("watches_silent", watches.silent());
        figures.put("changes_refused", machine.rejectedChanges());
        figures.put("reports_refused", machine.inventory().rejectedReports());
        figures.put("calls_faulty", faultyCalls + server.unreadable());
        figures.put("calls_lost", calls.lost());
        figures.put("calls_disk_behind", diskBehind);
        figures.put("connections", (long) server.connections());
        figures.put("connections_turned_away", server.turnedAway());
        call.answer(
                200,
                StatusText.status(
                        rev,
                        Inventory.nodesByStatus(terms, rows, settings.nodeCount(), rev),
                        rows,
                        new StatusText.Keeper(
                                me.keeper(),
                                me.identity(),
                                machine.history().rev(),
                                machine.history().voters().contains(me),
                                machine.isCaughtUp(),
                                machine.lacksQuorum(),
                                notHeard.stream().sorted().toList(),
                                figures)));
    }
}
