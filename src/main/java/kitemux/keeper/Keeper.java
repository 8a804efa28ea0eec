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
 * A keeper: executes the effects of its {@link KeeperStateMachine} on sockets and on its folder. Everything
 * except writes to the folder runs on one event loop.
 */
public final class Keeper {
    private static final byte[] EMPTY_BODY = new byte[0];
    /** Number of checks for silent watches within one report timeout. */
    private static final int SWEEP_COUNT_PER_REPORT_TIMEOUT = 10;

    private final KeeperSettings settings;
    private final ProtocolParameters parameters;
    private final EventLoop loop;
    private final Clock clock;
    private final Log log;
    private final Consumer<Exception> failureHandler;
    private final Voter self;
    private final KeeperStateMachine stateMachine;
    private final RecordWriter writer;
    private final KeeperServer server;
    private final KeeperClient keeperClient;
    private final WatchRegistry watches;
    /** Receivers of responses to requests to this keeper's acceptor or history, by call id. */
    private final Map<Long, Consumer<Response>> pendingRequests = new HashMap<>();
    /** Calls of operators that wait for the outcome of a change, by call id. */
    private final Map<Long, KeeperServer.Call> pendingChanges = new HashMap<>();

    private final ArrayDeque<Effect> pendingEffects = new ArrayDeque<>();
    private boolean isExecuting;
    private long lastCallId;
    private long invalidCalls;
    private long diskBacklogRejections;
    private Clock.Timer tickTimer;
    private Clock.Timer sweepTimer;
    private boolean stopped;
    private String loggedState = "";

    /** Environment of a keeper: its event loop, network, clock and log. */
    public record Environment(EventLoop loop, Network network, Clock clock, Log log) {}

    private Keeper(
            KeeperSettings settings,
            ProtocolParameters parameters,
            Rules rules,
            Environment environment,
            KeeperFolder folder,
            long seed,
            Consumer<Exception> failureHandler) {
        this.settings = settings;
        this.parameters = parameters;
        loop = environment.loop();
        clock = environment.clock();
        log = environment.log();
        self = new Voter(settings.number(), folder.identity());
        stateMachine = new KeeperStateMachine(
                parameters,
                self,
                settings.keeperAddresses().size(),
                settings.initialVoters(),
                rules,
                folder.recoveredRecords(),
                seed,
                clock.nowUs());
        this.failureHandler = failureHandler;
        writer = new RecordWriter(folder, loop, failureHandler);
        server = new KeeperServer(loop, this::dispatch);
        keeperClient = new KeeperClient(loop, environment.network(), settings.keeperAddresses());
        watches = new WatchRegistry(watch -> {
            stateMachine.watchEnded(watch);
            scheduleTick();
        });
    }

    /**
     * Opens a keeper on its folder, ready to listen.
     *
     * @param disk the folder; no other process may write to it
     * @param random random numbers for the identity of the folder and the seed of the state machine
     * @param failureHandler called on the loop or on the writer's thread if the keeper cannot continue, for example
     *     because the folder is no longer writable; the process must then exit
     * @throws IOException if the folder cannot be read or written, or belongs to another keeper
     */
    public static Keeper open(
            KeeperSettings settings,
            ProtocolParameters parameters,
            Rules rules,
            Environment environment,
            Disk disk,
            LongSupplier random,
            Consumer<Exception> failureHandler)
            throws IOException {
        KeeperFolder folder = KeeperFolder.open(disk, settings.number(), random, environment.log()::info);
        return new Keeper(settings, parameters, rules, environment, folder, random.getAsLong(), failureHandler);
    }

    /**
     * Initializes the folder of a keeper if it has no records yet.
     *
     * @return the voter as it is written in settings, with number and identity
     * @throws IOException if the folder cannot be read or written, or belongs to another keeper
     */
    public static String initializeFolder(Disk disk, int number, LongSupplier random, Log log) throws IOException {
        KeeperFolder folder = KeeperFolder.open(disk, number, random, log::info);
        folder.close();
        return new Voter(number, folder.identity()).toString();
    }

    /** Number of this keeper and identity of its folder. */
    public Voter voter() {
        return self;
    }

    /** Starts to listen; the future completes once the keeper accepts calls. */
    public ChannelFuture listen() {
        loop.execute(() -> {
            tick();
            closeSilentWatches();
        });
        return server.listen(settings.listenAddress());
    }

    /** Closes all sockets and cancels all timers at once; pending calls are never answered. */
    void stop() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            stopped = true;
            if (tickTimer != null) {
                tickTimer.cancel();
            }
            if (sweepTimer != null) {
                sweepTimer.cancel();
            }
            server.close();
            keeperClient.close();
            done.countDown();
        });
        done.await();
    }

    /** Stops the keeper after all queued records are written. Must not be called on the loop. */
    public void close() throws InterruptedException {
        stop();
        writer.close();
    }

    // ---------------------------------------------------------------- effects

    /**
     * Passes an event to the state machine. An unexpected exception ends the keeper, because it must not continue
     * after a partly handled event.
     */
    private void handleEvent(Supplier<List<Effect>> event) {
        try {
            execute(event.get());
        } catch (RuntimeException e) {
            log.error("keeper " + self, e);
            failureHandler.accept(e);
        }
    }

    /** Executes effects in order, including those that arise during execution. */
    private void execute(List<Effect> newEffects) {
        if (stopped) {
            return;
        }
        pendingEffects.addAll(newEffects);
        if (isExecuting) {
            return;
        }
        isExecuting = true;
        try {
            for (Effect effect = pendingEffects.poll(); effect != null; effect = pendingEffects.poll()) {
                execute(effect);
            }
        } finally {
            isExecuting = false;
        }
        if (writer.takeRewriteDue()) {
            writer.rewrite(stateMachine.toRecords());
        }
        logStateChange();
        scheduleTick();
    }

    private void execute(Effect effect) {
        if (effect instanceof Effect.Send send) {
            send(send.to(), send.request());
        } else if (effect instanceof Effect.Reply reply) {
            Consumer<Response> responseHandler = pendingRequests.remove(reply.call());
            if (responseHandler != null) {
                responseHandler.accept(reply.answer());
            }
        } else if (effect instanceof Effect.Persist persist) {
            writer.write(persist.entry(), () -> handleEvent(persist::then));
        } else if (effect instanceof Effect.CompleteChange complete) {
            invalidCalls += complete.outcome() instanceof Outcome.Invalid ? 1 : 0;
            pendingChanges
                    .remove(complete.call())
                    .answer(status(complete.outcome()), RolloutText.write(complete.outcome()));
        } else if (effect instanceof Effect.SendEvent sendEvent) {
            watches.send(sendEvent.watch(), sendEvent.event());
        } else if (!(effect instanceof Effect.RejectWatch)) {
            // The other effects belong to nodes.
            throw new IllegalStateException("not an effect of a keeper: " + effect);
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
        if (to == self.keeper()) {
            loop.execute(() -> handleRequest(request, response -> handleResponse(to, response)));
            return;
        }
        keeperClient.post(to, "/rollout/" + kindOf(request), RolloutText.write(request), body -> {
            if (body == null || stopped) {
                return;
            }
            RolloutText.ParseResult<Response> response = RolloutText.readResponse(body);
            if (response.value() instanceof Response.Versions versions
                    && versions.versions().size() > ProtocolParameters.MAX_RESPONSE_VERSION_COUNT) {
                log.info("keeper " + to + ": its response has "
                        + versions.versions().size() + " versions; " + ProtocolParameters.MAX_RESPONSE_VERSION_COUNT
                        + " are allowed at most");
            } else if (response.errors().isEmpty()) {
                handleResponse(to, response.value());
            } else {
                log.info("keeper " + to + ": its response cannot be read: "
                        + response.errors().get(0));
            }
        });
    }

    private static String kindOf(Request request) {
        return request instanceof Request.Prepare
                ? "prepare"
                : request instanceof Request.Accept ? "accept" : request instanceof Request.Chosen ? "chosen" : "ask";
    }

    /**
     * Whether a message can be handled. Messages are dropped while the disk is behind, because each may cause a write
     * and the write queue is bounded.
     */
    private boolean hasRoom() {
        if (!writer.hasRoom()) {
            diskBacklogRejections++;
            return false;
        }
        return !stopped;
    }

    private void handleResponse(int from, Response response) {
        if (hasRoom()) {
            handleEvent(() -> stateMachine.handleResponse(clock.nowUs(), from, response));
        }
    }

    private void handleRequest(Request request, Consumer<Response> responseHandler) {
        if (hasRoom()) {
            pendingRequests.put(++lastCallId, responseHandler);
            handleEvent(() -> stateMachine.handleRequest(clock.nowUs(), lastCallId, request));
        }
    }

    private void tick() {
        tickTimer = null;
        handleEvent(() -> stateMachine.tick(clock.nowUs()));
    }

    private void closeSilentWatches() {
        if (!stopped) {
            watches.closeSilent(clock.nowUs() - parameters.reportTimeoutUs());
            sweepTimer = clock.schedule(
                    parameters.reportTimeoutUs() / SWEEP_COUNT_PER_REPORT_TIMEOUT, this::closeSilentWatches);
        }
    }

    private void scheduleTick() {
        if (tickTimer != null) {
            tickTimer.cancel();
        }
        if (!stopped) {
            tickTimer = clock.schedule(Math.max(0, stateMachine.nextAtUs() - clock.nowUs()), this::tick);
        }
    }

    /** Logs a change in whether this keeper serves. */
    private void logStateChange() {
        String state = !stateMachine.isCaughtUp()
                ? "serves nobody until it has heard a majority of the voters"
                : stateMachine.lacksQuorum() ? "hears no majority of the voters: no change can be made here" : "serves";
        if (!state.equals(loggedState)) {
            loggedState = state;
            log.info("keeper " + self + " " + state + "; version "
                    + stateMachine.history().rev());
        }
    }

    // ---------------------------------------------------------------- handling of calls

    private void dispatch(KeeperServer.Call call) {
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
            invalidCalls++;
            call.answer(
                    method.isEmpty() ? 404 : 405,
                    StatusJson.error(path, method.isEmpty() ? "is not known here" : "must be called with " + method));
            return;
        }
        switch (path) {
            case "/rollout/watch" -> handleWatch(call);
            case "/rollout/status" -> status(call);
            case "/rollout/inventory" -> call.answer(200, RolloutText.writeRows(rows()));
            case "/rollout/change" -> handleChange(call);
            case "/rollout/report" -> handleReport(call);
            default -> handlePeerCall(call, path.substring("/rollout/".length()));
        }
    }

    private void rejectInvalid(KeeperServer.Call call, List<ValidationError> errors) {
        invalidCalls++;
        call.answer(400, StatusJson.errors(errors));
    }

    private void handleChange(KeeperServer.Call call) {
        RolloutText.ParseResult<Change> parsed = RolloutText.readChange(call.body());
        if (!parsed.errors().isEmpty()) {
            rejectInvalid(call, parsed.errors());
        } else if (!hasRoom()) {
            call.answer(503, StatusJson.reason("the disk of this keeper is behind"));
        } else {
            pendingChanges.put(++lastCallId, call);
            handleEvent(() -> stateMachine.proposeChange(clock.nowUs(), lastCallId, parsed.value()));
        }
    }

    private void handlePeerCall(KeeperServer.Call call, String kind) {
        RolloutText.ParseResult<Request> parsed = RolloutText.readRequest(call.body());
        if (!parsed.errors().isEmpty()) {
            rejectInvalid(call, parsed.errors());
        } else if (!kindOf(parsed.value()).equals(kind)) {
            rejectInvalid(call, List.of(new ValidationError("kind", "is not " + kind + ", as the path requires")));
        } else if (!hasRoom()) {
            call.answer(503, StatusJson.reason("the disk of this keeper is behind"));
        } else {
            handleRequest(parsed.value(), response -> call.answer(200, RolloutText.write(response)));
        }
    }

    private void handleReport(KeeperServer.Call call) {
        RolloutText.ParseResult<Report> parsed = RolloutText.readReport(call.body());
        if (!parsed.errors().isEmpty()) {
            rejectInvalid(call, parsed.errors());
        } else if (parsed.value().node() >= settings.nodeCount()) {
            rejectInvalid(call, List.of(new ValidationError("node", "is not from 0 to " + (settings.nodeCount() - 1))));
        } else {
            stateMachine.handleReport(clock.nowUs(), parsed.value());
            watches.recordReport(parsed.value().node(), clock.nowUs());
            call.answer(204, EMPTY_BODY);
        }
    }

    /** Query parameters of a call: known names only, each an integer given at most once. */
    private static final class Query {
        private final Map<String, List<String>> parameters;
        final List<ValidationError> errors = new ArrayList<>();

        Query(KeeperServer.Call call, List<String> knownNames) {
            parameters = call.query();
            parameters.keySet().stream()
                    .filter(name -> !knownNames.contains(name))
                    .sorted()
                    .forEach(name -> errors.add(
                            new ValidationError(name, "is not known; known are " + String.join(", ", knownNames))));
        }

        long readLong(String name, long defaultValue, long max) {
            List<String> values = parameters.getOrDefault(name, List.of());
            if (values.isEmpty()) {
                if (defaultValue < 0) {
                    errors.add(new ValidationError(name, "is missing"));
                }
                return defaultValue;
            }
            long value = -1;
            try {
                value = values.size() == 1 ? Long.parseLong(values.get(0)) : -1;
            } catch (NumberFormatException e) {
                // Reported below.
            }
            if (value < 0 || value > max) {
                errors.add(new ValidationError(name, "is not a whole number from 0 to " + max));
            }
            return value;
        }
    }

    private void handleWatch(KeeperServer.Call call) {
        Query query = new Query(call, List.of("after", "life", "node"));
        long afterRev = query.readLong("after", -1, Long.MAX_VALUE - 1);
        long node = query.readLong("node", -1, settings.nodeCount() - 1L);
        query.readLong("life", -1, Long.MAX_VALUE);
        if (!query.errors.isEmpty()) {
            rejectInvalid(call, query.errors);
            return;
        }
        long watch = ++lastCallId;
        List<Effect> effects = stateMachine.openWatch(clock.nowUs(), watch, afterRev);
        if (effects.stream()
                .anyMatch(effect -> effect instanceof Effect.RejectWatch reject && reject.watch() == watch)) {
            effects.stream()
                    .filter(effect -> effect instanceof Effect.RejectWatch)
                    .forEach(effect -> call.answer(503, StatusJson.reason(((Effect.RejectWatch) effect).reason())));
        } else {
            watches.add(watch, (int) node, call, clock.nowUs());
        }
        handleEvent(() -> effects);
    }

    private List<Row> rows() {
        return stateMachine.inventory().rows(clock.nowUs());
    }

    /** Collects the node reports of all keepers; the answer names keepers that did not respond. */
    private void status(KeeperServer.Call call) {
        Query query = new Query(call, List.of("rev"));
        long newest = stateMachine.history().rev();
        long rev = query.readLong("rev", newest, newest);
        if (!query.errors.isEmpty()) {
            rejectInvalid(call, query.errors);
            return;
        }
        List<List<Row>> inventories = new ArrayList<>(List.of(rows()));
        List<Integer> unreachableKeepers = new ArrayList<>();
        int[] remaining = {settings.keeperAddresses().size()};
        Runnable onInventoryDone = () -> {
            if (--remaining[0] == 0 && !stopped) {
                sendStatus(call, rev, Inventory.merge(inventories), unreachableKeepers);
            }
        };
        for (int keeper = 0; keeper < settings.keeperAddresses().size(); keeper++) {
            int peer = keeper;
            if (peer == self.keeper()) {
                onInventoryDone.run();
                continue;
            }
            keeperClient.get(peer, "/rollout/inventory", body -> {
                RolloutText.ParseResult<List<Row>> parsed = body == null ? null : RolloutText.readRows(body);
                if (parsed != null && parsed.errors().isEmpty()) {
                    inventories.add(parsed.value());
                } else {
                    unreachableKeepers.add(peer);
                }
                onInventoryDone.run();
            });
        }
    }

    private void sendStatus(
            KeeperServer.Call call, long rev, Map<Integer, Row> rows, List<Integer> unreachableKeepers) {
        SortedMap<String, Long> counters = new TreeMap<>();
        counters.put("watches", (long) stateMachine.openWatches());
        counters.put("watches_refused", stateMachine.rejectedWatches());
        counters.put("watches_unread", watches.closedUnreadCount());
        counters.put("watches_silent", watches.closedSilentCount());
        counters.put("changes_refused", stateMachine.rejectedChanges());
        counters.put("reports_refused", stateMachine.inventory().rejectedReports());
        counters.put("calls_faulty", invalidCalls + server.malformedCalls());
        counters.put("calls_lost", keeperClient.failedCalls());
        counters.put("calls_disk_behind", diskBacklogRejections);
        counters.put("connections", (long) server.connections());
        counters.put("connections_turned_away", server.rejectedConnections());
        call.answer(
                200,
                StatusJson.status(
                        rev,
                        Inventory.nodesByStatus(parameters, rows, settings.nodeCount(), rev),
                        rows,
                        new StatusJson.KeeperStatus(
                                self.keeper(),
                                self.identity(),
                                stateMachine.history().rev(),
                                stateMachine.history().voters().contains(self),
                                stateMachine.isCaughtUp(),
                                stateMachine.lacksQuorum(),
                                unreachableKeepers.stream().sorted().toList(),
                                counters)));
    }
}
