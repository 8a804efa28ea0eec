package kitemux.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import kitemux.sim.Scheduler;

/**
 * Simulates eight keepers and several nodes in three regions on a virtual clock. Encoded messages are
 * delayed or lost, disks sync late and lose what was not synced, and processes crash, pause and restart.
 * All observations are passed to an invariant checker.
 */
final class SimulatedFleet {
    static final int KEEPER_COUNT = 8;
    private static final int[] REGION_OF_KEEPER = {0, 0, 0, 1, 1, 1, 2, 2};
    private static final List<Integer> VOTER_NUMBERS = List.of(0, 1, 3, 4, 6);
    private static final int MAJORITY_COUNT = 3;
    private static final long START_UNIX_MS = 1_800_000_000_000L;
    private static final long SNAPSHOT_RETRY_US = 1_500_000;

    final Scheduler scheduler = new Scheduler();
    final SplittableRandom random;
    final InvariantChecker checker;
    final List<KeeperHost> keepers = new ArrayList<>();
    final List<NodeHost> nodes = new ArrayList<>();
    final List<Voter> initialVoters = new ArrayList<>();
    final SortedMap<String, String> initialValues;
    final long initialRev;
    private final Defect defect;
    private final ProtocolParameters parameters;
    private final int[] regionOfNode;
    /** Pairs of regions that cannot reach each other. */
    final boolean[][] isPartitioned = new boolean[3][3];
    /** Fraction of the messages between keepers that are lost. */
    double lossRatio;
    /** Upper limit of the delay of all messages; 0 for the usual delays. */
    long maxDelayUs;

    private long lastCallId;
    private long lastProcessId;
    private long requestCount;
    /** Number of outcomes, node states and other events by kind, which shows what the scenario covered. */
    final Map<String, Long> counts = new TreeMap<>();
    /** All observations in their order, if recorded. */
    final List<InvariantChecker.Observation> observations = new ArrayList<>();

    boolean recordsObservations;
    private final Map<Long, Consumer<Outcome>> callbacksByCall = new HashMap<>();

    SimulatedFleet(
            int nodeCount,
            long initialRev,
            SortedMap<String, String> initialValues,
            long seed,
            Defect defect,
            java.util.Set<Integer> oldNodes) {
        random = new SplittableRandom(seed);
        this.defect = defect;
        this.initialRev = initialRev;
        this.initialValues = initialValues;
        parameters = defect.parameters(ProtocolParameters.defaults());
        Map<Long, Map<String, String>> initialVersions = new TreeMap<>(Map.of(initialRev, initialValues));
        initialVersions.put(0L, Map.of());
        checker = new InvariantChecker(
                initialVersions,
                SimulatedFleet::isValid,
                (node, values) -> !oldNodes.contains(node) || isSupportedByOldProgram(values));
        regionOfNode = new int[nodeCount];
        for (int k : VOTER_NUMBERS) {
            initialVoters.add(new Voter(k, "first" + k));
        }
        for (int k = 0; k < KEEPER_COUNT; k++) {
            KeeperHost host = new KeeperHost(k);
            if (initialRev > 0) {
                host.diskRecords.add(new LogRecord.Snapshot(initialRev, initialValues));
            }
            keepers.add(host);
        }
        for (int n = 0; n < nodeCount; n++) {
            regionOfNode[n] = n % 3;
            nodes.add(new NodeHost(n, new SampleRules(oldNodes.contains(n))));
        }
        keepers.forEach(KeeperHost::start);
        nodes.forEach(NodeHost::start);
        updateReachability();
        scheduleTimePassed();
    }

    /** The validity rules of the checker, independent of those under test. */
    private static boolean isValid(Map<String, String> values) {
        return values.entrySet().stream()
                        .noneMatch(v -> v.getKey().startsWith("realms/") && Long.parseLong(v.getValue()) < 0)
                && Long.parseLong(values.getOrDefault("classes/a", "50"))
                                + Long.parseLong(values.getOrDefault("classes/b", "50"))
                        == 100;
    }

    private static boolean isSupportedByOldProgram(Map<String, String> values) {
        return values.entrySet().stream()
                .noneMatch(v -> v.getKey().startsWith("realms/")
                        && Long.parseLong(v.getValue()) >= SampleRules.MIN_UNSUPPORTED_VALUE);
    }

    void observe(InvariantChecker.Observation observation) {
        if (recordsObservations) {
            observations.add(observation);
        }
        checker.observe(observation);
    }

    void count(String event) {
        counts.merge(event, 1L, Long::sum);
    }

    long nowUs() {
        return scheduler.nowUs();
    }

    private void scheduleTimePassed() {
        scheduler.scheduleAfterUs(100_000, () -> {
            observe(new InvariantChecker.TimePassed(nowUs()));
            scheduleTimePassed();
        });
    }

    void runForUs(long durationUs) {
        long untilNanos = scheduler.nowNanos() + durationUs * 1_000;
        while (scheduler.runNext(untilNanos) && checker.violations().isEmpty()) {
            // Each step handles one event.
        }
    }

    private long drawDelayUs(int a, int b) {
        if (maxDelayUs > 0) {
            return random.nextLong(300, maxDelayUs);
        }
        return a == b ? random.nextLong(300, 3_000) : random.nextLong(40_000, 75_000);
    }

    boolean isPartitionedBetween(int a, int b) {
        return isPartitioned[a][b];
    }

    void setPartitioned(int a, int b, boolean partitioned) {
        isPartitioned[a][b] = partitioned;
        isPartitioned[b][a] = partitioned;
    }

    /**
     * Tells the checker which nodes can reach a majority. It must be called after each change of links and
     * processes.
     */
    void updateReachability() {
        int[] majority = new int[KEEPER_COUNT];
        for (KeeperHost a : keepers) {
            for (int v : VOTER_NUMBERS) {
                KeeperHost b = keepers.get(v);
                boolean isVoter = b.identity.equals("first" + v);
                majority[a.number] += isVoter
                                && a.isHealthy()
                                && b.isHealthy()
                                && !a.isIsolated
                                && !b.isIsolated
                                && !isPartitionedBetween(a.region, b.region)
                        ? 1
                        : 0;
            }
        }
        for (NodeHost node : nodes) {
            int badKeeperCount = 0;
            for (KeeperHost k : keepers) {
                boolean reaches = k.isHealthy() && !isPartitionedBetween(k.region, regionOfNode[node.number]);
                badKeeperCount += reaches && majority[k.number] >= MAJORITY_COUNT ? 0 : 1;
            }
            boolean isHealthy = node.subscriber != null && !node.isPaused;
            observe(new InvariantChecker.Reachability(
                    nowUs(),
                    node.number,
                    isHealthy && badKeeperCount < KEEPER_COUNT,
                    node.extraTimeUs(badKeeperCount)));
        }
    }

    /** A process with one thread. Events that arrive while it is paused are handled when it resumes. */
    abstract class Host {
        boolean isPaused;
        long processId;
        private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
        Scheduler.Event timer;

        /** Returns an action that runs only if the current process is still up. */
        Runnable inCurrentProcess(Runnable action) {
            long scheduledIn = processId;
            return () -> {
                if (processId == scheduledIn && isUp()) {
                    if (isPaused) {
                        deferred.add(action);
                    } else {
                        action.run();
                        armTimer();
                    }
                }
            };
        }

        abstract boolean isUp();

        abstract long nextAtUs();

        abstract void tick();

        boolean isHealthy() {
            return isUp() && !isPaused;
        }

        void armTimer() {
            if (timer != null) {
                timer.cancel();
            }
            long at = isUp() ? nextAtUs() : Long.MAX_VALUE;
            timer = at == Long.MAX_VALUE
                    ? null
                    : scheduler.scheduleAt(Math.max(at, nowUs()) * 1_000, inCurrentProcess(this::tick));
        }

        void pause() {
            isPaused = true;
            updateReachability();
        }

        void resume() {
            isPaused = false;
            while (!deferred.isEmpty() && !isPaused) {
                Runnable action = deferred.poll();
                // The process may have been stopped while it was paused, or by an earlier deferred action.
                if (isUp()) {
                    action.run();
                }
            }
            if (isUp()) {
                armTimer();
            }
            updateReachability();
        }

        void beginProcess() {
            processId = ++lastProcessId;
            isPaused = false;
            deferred.clear();
        }
    }

    /** The connection of a watch. What is sent arrives in order, until something is lost. */
    private static final class Connection {
        final long id;
        final KeeperHost keeper;
        final NodeHost node;
        final long nodeProcessId;
        final String nodeProcess;
        final long nodeWatch;
        long lastArrivalUs;
        boolean isBroken;
        boolean isClosed;
        boolean sendsSnapshot;

        Connection(long id, KeeperHost keeper, NodeHost node, long nodeWatch) {
            this.id = id;
            this.keeper = keeper;
            this.node = node;
            this.nodeProcessId = node.processId;
            this.nodeProcess = node.name();
            this.nodeWatch = nodeWatch;
        }
    }

    /** The machine of a keeper: its disk and the process that runs on it. */
    final class KeeperHost extends Host {
        final int number;
        final int region;
        String identity;
        final List<LogRecord> diskRecords = new ArrayList<>();
        private final ArrayDeque<LogRecord> unsyncedRecords = new ArrayDeque<>();
        private long diskIdleAtUs;
        KeeperStateMachine machine;
        /** Whether other keepers cannot reach this one, nor it them. Nodes still can. */
        boolean isIsolated;

        private long observedRev = -1;
        private final Map<Long, Connection> connections = new HashMap<>();
        /** Callbacks for the responses to requests, by call. */
        private final Map<Long, Consumer<Response>> replyCallbacks = new HashMap<>();

        KeeperHost(int number) {
            this.number = number;
            this.region = REGION_OF_KEEPER[number];
            this.identity = "first" + number;
        }

        @Override
        boolean isUp() {
            return machine != null;
        }

        @Override
        long nextAtUs() {
            return machine.nextAtUs();
        }

        @Override
        void tick() {
            execute(machine.tick(nowUs()));
        }

        void start() {
            beginProcess();
            List<LogRecord> read = diskRecords.stream()
                    .map(entry ->
                            RolloutText.readLogRecord(RolloutText.write(entry)).value())
                    .toList();
            machine = new KeeperStateMachine(
                    parameters,
                    new Voter(number, identity),
                    KEEPER_COUNT,
                    initialVoters,
                    defect.keeperRules(new SampleRules(false)),
                    read,
                    random.nextLong(),
                    nowUs());
            observedRev = -1;
            observeHistory();
            if (defect.servesBeforeCaughtUp()) {
                for (int v : VOTER_NUMBERS) {
                    machine.handleResponse(
                            nowUs(),
                            v,
                            new Response.Versions(
                                    machine.history().rev(), machine.history().rev(), List.of()));
                }
            }
            armTimer();
        }

        /**
         * Ends the process. Records that were not synced are lost, except for a random number of the first
         * ones.
         */
        void crash() {
            if (machine == null) {
                return;
            }
            machine = null;
            for (int i = random.nextInt(unsyncedRecords.size() + 1); i > 0; i--) {
                onSynced(unsyncedRecords.poll());
            }
            unsyncedRecords.clear();
            diskIdleAtUs = 0;
            replyCallbacks.clear();
            List.copyOf(connections.values()).forEach(connection -> {
                if (!isPartitionedBetween(region, regionOfNode[connection.node.number])) {
                    scheduler.scheduleAfterUs(
                            drawDelayUs(region, regionOfNode[connection.node.number]),
                            () -> connection.node.scheduleWatchEnded(connection));
                }
            });
            connections.clear();
            updateReachability();
        }

        /** Replaces the machine by one with an empty disk. */
        void crashAndLoseDisk() {
            crash();
            diskRecords.clear();
            if (!defect.keepsIdentityOfEmptyFolder()) {
                identity = "again" + ++lastProcessId;
            }
            updateReachability();
        }

        private void onSynced(LogRecord entry) {
            diskRecords.add(entry);
            if (entry instanceof LogRecord.Voted voted && voted.vote().accepted() != null) {
                observe(new InvariantChecker.Persisted(
                        nowUs(),
                        number,
                        voted.vote().rev(),
                        voted.vote().accepted().id()));
            } else if (entry instanceof LogRecord.Chosen chosen) {
                observe(new InvariantChecker.Persisted(
                        nowUs(),
                        number,
                        chosen.version().rev(),
                        chosen.version().change().id()));
            }
        }

        private void persist(Effect.Persist effect) {
            if (!defect.syncs(effect.entry())) {
                execute(effect.then());
                return;
            }
            unsyncedRecords.add(effect.entry());
            diskIdleAtUs = Math.max(diskIdleAtUs, nowUs())
                    + (random.nextInt(20) == 0 ? random.nextLong(100_000, 500_000) : random.nextLong(500, 20_000));
            long writerProcessId = processId;
            boolean waits = defect.waitsForSync();
            scheduler.scheduleAt(diskIdleAtUs * 1_000, () -> {
                if (processId == writerProcessId && isUp()) {
                    // The disk continues while the process is paused.
                    onSynced(unsyncedRecords.poll());
                    if (waits) {
                        inCurrentProcess(() -> execute(effect.then())).run();
                    }
                }
            });
            if (!waits) {
                execute(effect.then());
            }
        }

        String name() {
            return "keeper " + number + "/" + processId;
        }

        private void observeHistory() {
            History history = machine.history();
            if (history.rev() != observedRev) {
                observedRev = history.rev();
                Version version = history.version(observedRev);
                observe(new InvariantChecker.Known(
                        nowUs(),
                        name(),
                        observedRev,
                        version == null ? "" : version.change().id(),
                        history.values()));
            }
        }

        private void execute(List<Effect> effects) {
            if (machine != null) {
                observeHistory();
            }
            for (Effect effect : effects) {
                if (effect instanceof Effect.Send send) {
                    keepers.get(send.to()).receiveRequest(this, send.request());
                } else if (effect instanceof Effect.Reply reply) {
                    Consumer<Response> to = replyCallbacks.remove(reply.call());
                    if (to != null) {
                        to.accept(reply.answer());
                    }
                } else if (effect instanceof Effect.Persist persist) {
                    persist(persist);
                } else if (effect instanceof Effect.CompleteChange completed) {
                    callbacksByCall.remove(completed.call()).accept(completed.outcome());
                } else if (effect instanceof Effect.SendEvent sendEvent) {
                    sendEvent(sendEvent);
                } else if (effect instanceof Effect.RejectWatch reject) {
                    Connection connection = connections.remove(reject.watch());
                    deliverInOrder(connection, () -> connection.node.onWatchEnded(connection));
                    count("rejected watch");
                }
            }
        }

        /**
         * Receives a request from another keeper or from this one. The request and the response may each be
         * lost.
         */
        private void receiveRequest(KeeperHost from, Request request) {
            long fromProcessId = from.processId;
            byte[] bytes = RolloutText.write(request);
            if (isLost(from)) {
                return;
            }
            scheduler.scheduleAfterUs(
                    from == this ? 0 : drawDelayUs(region, from.region),
                    () -> inCurrentProcess(() -> {
                                Request read = RolloutText.readRequest(bytes).value();
                                long call = ++lastCallId;
                                replyCallbacks.put(call, response -> sendResponse(from, fromProcessId, read, response));
                                execute(machine.handleRequest(nowUs(), call, defect.request(read, ++requestCount)));
                            })
                            .run());
        }

        private boolean isLost(KeeperHost other) {
            return other != this
                    && (isPartitionedBetween(region, other.region)
                            || isIsolated
                            || other.isIsolated
                            || random.nextDouble() < lossRatio);
        }

        private void sendResponse(KeeperHost requester, long requesterProcessId, Request request, Response response) {
            if (isLost(requester)) {
                return;
            }
            byte[] bytes = RolloutText.write(defect.response(request, response));
            scheduler.scheduleAfterUs(requester == this ? 0 : drawDelayUs(region, requester.region), () -> {
                if (requester.processId == requesterProcessId && requester.isUp()) {
                    requester
                            .inCurrentProcess(() -> {
                                Response read = RolloutText.readResponse(bytes).value();
                                requester.execute(requester.machine.handleResponse(nowUs(), number, read));
                                int duplicateSender = defect.duplicateSender(number, read);
                                if (duplicateSender >= 0 && requester.isUp()) {
                                    requester.execute(requester.machine.handleResponse(nowUs(), duplicateSender, read));
                                }
                            })
                            .run();
                }
            });
        }

        /** Passes on an operator's change. There is no answer if the process crashes. */
        void requestChange(Change change, Consumer<Outcome> callback) {
            inCurrentProcess(() -> {
                        long call = ++lastCallId;
                        callbacksByCall.put(call, callback);
                        Change read = RolloutText.readChange(RolloutText.write(change))
                                .value();
                        execute(machine.proposeChange(nowUs(), call, read));
                    })
                    .run();
        }

        private void openWatch(Connection connection, long afterRev) {
            connections.put(connection.id, connection);
            long startRev = defect.servesBeforeCaughtUp()
                    ? Math.min(afterRev, machine.history().rev())
                    : afterRev;
            List<Effect> effects = machine.openWatch(nowUs(), connection.id, startRev);
            if (effects.stream().noneMatch(e -> e instanceof Effect.RejectWatch)) {
                deliverInOrder(connection, () -> connection.node.onWatchOpened(connection));
            }
            execute(effects);
        }

        /** Delivers a message of a watch to the node, after all earlier ones. */
        private void deliverInOrder(Connection connection, Runnable action) {
            int nodeRegion = regionOfNode[connection.node.number];
            if (isPartitionedBetween(region, nodeRegion)) {
                connection.isBroken = true;
            }
            connection.lastArrivalUs = Math.max(connection.lastArrivalUs, nowUs() + drawDelayUs(region, nodeRegion));
            scheduler.scheduleAt(connection.lastArrivalUs * 1_000, () -> {
                connection.isBroken |= isPartitionedBetween(region, nodeRegion);
                if (!connection.isBroken && connection.node.processId == connection.nodeProcessId) {
                    connection.node.inCurrentProcess(action).run();
                }
            });
        }

        private void sendEvent(Effect.SendEvent sendEvent) {
            Connection connection = connections.get(sendEvent.watch());
            if (connection == null || !defect.sendsEvent(sendEvent.event(), connection.sendsSnapshot)) {
                return;
            }
            if (sendEvent.event() instanceof WatchEvent.SnapshotPart part) {
                connection.sendsSnapshot = part.part() < part.partCount();
            }
            byte[] bytes = RolloutText.write(sendEvent.event());
            if (!connection.isClosed && connection.node.processId == connection.nodeProcessId) {
                observe(new InvariantChecker.BytesSent(
                        nowUs(), connection.nodeProcess, bytes.length + ProtocolParameters.EVENT_FRAMING_BYTES));
            }
            long rev = machine.history().rev();
            deliverInOrder(
                    connection,
                    () -> connection.node.onEvent(
                            connection, RolloutText.readWatchEvent(bytes).value(), rev));
        }

        private void onNodeClosed(Connection connection) {
            scheduler.scheduleAfterUs(drawDelayUs(region, regionOfNode[connection.node.number]), () -> {
                if (connections.remove(connection.id) != null && isUp()) {
                    machine.watchEnded(connection.id);
                }
            });
        }

        private void receiveReport(byte[] bytes, String process) {
            inCurrentProcess(() -> {
                        observe(new InvariantChecker.ReportReceived(nowUs(), name(), process));
                        machine.handleReport(
                                nowUs(),
                                defect.report(RolloutText.readReport(bytes).value()));
                    })
                    .run();
        }
    }

    /** The machine of a node and the process that runs on it. */
    final class NodeHost extends Host {
        final int number;
        private final SampleRules rules;
        Subscriber subscriber;
        /** The version in the node's own file. */
        long fileRev;

        private final Map<Long, Connection> connections = new HashMap<>();
        private long incarnation;
        private long busyUntilUs;

        NodeHost(int number, SampleRules rules) {
            this.number = number;
            this.rules = rules;
        }

        String name() {
            return "node " + number + "/" + processId;
        }

        @Override
        boolean isUp() {
            return subscriber != null;
        }

        @Override
        long nextAtUs() {
            return subscriber.nextAtUs();
        }

        @Override
        void tick() {
            execute(subscriber.tick(nowUs()));
        }

        void start() {
            beginProcess();
            incarnation = START_UNIX_MS + nowUs() / 1_000 + processId;
            observe(new InvariantChecker.NodeStarted(nowUs(), number, name()));
            createSubscriber(fileRev);
            observe(new InvariantChecker.InForce(nowUs(), number, name(), subscriber.rev(), subscriber.values()));
            armTimer();
        }

        private void createSubscriber(long rev) {
            subscriber = new Subscriber(
                    parameters,
                    rules,
                    number,
                    incarnation,
                    KEEPER_COUNT,
                    rev,
                    rev == 0 ? new TreeMap<>() : initialValues,
                    random.nextLong(),
                    nowUs());
        }

        void crash() {
            if (subscriber != null) {
                subscriber = null;
                observe(new InvariantChecker.NodeStopped(nowUs(), number, name()));
                connections.values().forEach(this::closeConnection);
                connections.clear();
                updateReachability();
            }
        }

        /**
         * Starts a second process with the same node number, while the old one goes on for a while and its
         * reports still arrive.
         */
        void startSecondProcess(long durationUs) {
            long oldIncarnation = incarnation;
            String oldName = name();
            crash();
            start();
            updateReachability();
            for (long at = 0; at < durationUs; at += 2_000_000) {
                KeeperHost to = keepers.get(random.nextInt(KEEPER_COUNT));
                scheduler.scheduleAfterUs(at, () -> {
                    if (to.isHealthy() && !isPartitionedBetween(to.region, regionOfNode[number])) {
                        History history = to.machine.history();
                        if (history.rev() >= initialRev && checker.revOf(oldName) <= history.rev()) {
                            observe(new InvariantChecker.InForce(
                                    nowUs(), number, oldName, history.rev(), history.values()));
                            observe(new InvariantChecker.ReportSent(nowUs(), number));
                            to.receiveReport(
                                    RolloutText.write(new Report(
                                            number,
                                            oldIncarnation,
                                            history.rev(),
                                            new java.util.TreeSet<>(),
                                            List.of())),
                                    oldName);
                        }
                    }
                });
            }
        }

        /** The time that the node needs beyond the usual limit. */
        private long extraTimeUs(int badKeeperCount) {
            long extraUs = 750_000L * Math.max(0, badKeeperCount - 2);
            if (subscriber != null && subscriber.rev() < initialRev) {
                long bytes = 0;
                for (WatchEvent.SnapshotPart part :
                        RolloutText.splitSnapshot(initialRev, initialValues, parameters.snapshotPartBytes())) {
                    bytes += RolloutText.write(part).length + 2L * ProtocolParameters.EVENT_FRAMING_BYTES;
                }
                extraUs += SNAPSHOT_RETRY_US + bytes * 1_000_000 / 6_000;
            }
            return extraUs + (long) (1.1 * missingBytes() * 1_000_000 / 6_000);
        }

        /** Size of the versions that the node still has to receive. */
        private long missingBytes() {
            long bytes = 0;
            long from = subscriber == null ? 0 : Math.max(initialRev, subscriber.rev());
            KeeperHost newest = keepers.stream()
                    .filter(KeeperHost::isUp)
                    .max(java.util.Comparator.comparingLong(
                            k -> k.machine.history().rev()))
                    .orElse(null);
            if (newest != null) {
                for (Version version :
                        newest.machine.history().versionsAfter(from, ProtocolParameters.MAX_HISTORY_VERSION_COUNT)) {
                    bytes += RolloutText.write(version.change()).length + ProtocolParameters.EVENT_FRAMING_BYTES;
                }
            }
            return bytes;
        }

        private void closeConnection(Connection connection) {
            connection.isClosed = true;
            connection.keeper.onNodeClosed(connection);
        }

        private void execute(List<Effect> effects) {
            for (Effect effect : effects) {
                if (effect instanceof Effect.OpenWatch open) {
                    openWatch(open);
                } else if (effect instanceof Effect.CloseWatch close) {
                    Connection connection = connections.remove(close.watch());
                    if (connection != null) {
                        closeConnection(connection);
                    }
                } else if (effect instanceof Effect.Apply apply) {
                    applyVersion(apply);
                } else if (effect instanceof Effect.SendReport send) {
                    sendReport(send.keeper(), send.report());
                }
            }
        }

        private void sendReport(int keeperNumber, Report report) {
            KeeperHost keeper = keepers.get(keeperNumber);
            byte[] bytes = RolloutText.write(report);
            String sender = name();
            report.rejections()
                    .forEach(rejection -> observe(new InvariantChecker.RejectionReported(
                            nowUs(),
                            number,
                            rejection.rev(),
                            defect.report(report)
                                    .rejections()
                                    .get(report.rejections().indexOf(rejection))
                                    .path())));
            if (!isPartitionedBetween(keeper.region, regionOfNode[number])) {
                observe(new InvariantChecker.ReportSent(nowUs(), number));
                scheduler.scheduleAfterUs(
                        drawDelayUs(keeper.region, regionOfNode[number]), () -> keeper.receiveReport(bytes, sender));
            }
        }

        private void applyVersion(Effect.Apply apply) {
            long delayUs = random.nextInt(20) == 0 ? random.nextLong(200_000, 800_000) : random.nextLong(100, 5_000);
            busyUntilUs = Math.max(busyUntilUs, nowUs() + delayUs);
            if (defect.reportsBeforeApplied()) {
                sendReport(
                        random.nextInt(KEEPER_COUNT),
                        new Report(number, incarnation, apply.rev(), new java.util.TreeSet<>(), List.of()));
            }
            Subscriber current = subscriber;
            scheduler.scheduleAt(busyUntilUs * 1_000, inCurrentProcess(() -> {
                if (subscriber == current) {
                    observe(new InvariantChecker.InForce(nowUs(), number, name(), apply.rev(), apply.values()));
                    execute(subscriber.applied(nowUs(), apply.rev(), apply.values()));
                }
            }));
        }

        private void openWatch(Effect.OpenWatch open) {
            if (defect.forgetsVersionOnReconnect() && subscriber.rev() > fileRev) {
                createSubscriber(fileRev);
                observe(new InvariantChecker.InForce(nowUs(), number, name(), subscriber.rev(), subscriber.values()));
                armTimer();
                return;
            }
            KeeperHost keeper = keepers.get(defect.watchedKeeper(number, open.keeper()));
            Connection connection = new Connection(++lastCallId, keeper, this, open.watch());
            connections.put(open.watch(), connection);
            count("connection attempt");
            int here = regionOfNode[number];
            if (isPartitionedBetween(keeper.region, here)) {
                return;
            }
            scheduler.scheduleAfterUs(drawDelayUs(keeper.region, here), () -> {
                if (isPartitionedBetween(keeper.region, here)) {
                    return;
                }
                if (!keeper.isUp()) {
                    scheduler.scheduleAfterUs(drawDelayUs(keeper.region, here), () -> scheduleWatchEnded(connection));
                    return;
                }
                keeper.inCurrentProcess(() -> {
                            if (!connection.isClosed) {
                                keeper.openWatch(connection, open.afterRev());
                            }
                        })
                        .run();
            });
        }

        private void onWatchOpened(Connection connection) {
            if (connections.containsKey(connection.nodeWatch)) {
                execute(subscriber.watchOpened(nowUs(), connection.nodeWatch));
            }
        }

        private void onEvent(Connection connection, WatchEvent received, long keeperRev) {
            if (connections.get(connection.nodeWatch) != connection) {
                return;
            }
            WatchEvent event = defect.event(received, rules, subscriber);
            if (event != null) {
                if (!(event instanceof WatchEvent.NoQuorum)) {
                    observe(new InvariantChecker.KeeperServed(nowUs(), name(), keeperRev));
                }
                execute(subscriber.handleEvent(nowUs(), connection.nodeWatch, event));
            }
        }

        private void scheduleWatchEnded(Connection connection) {
            if (processId == connection.nodeProcessId) {
                inCurrentProcess(() -> onWatchEnded(connection)).run();
            }
        }

        private void onWatchEnded(Connection connection) {
            if (connections.remove(connection.nodeWatch) != null) {
                execute(subscriber.watchEnded(nowUs(), connection.nodeWatch));
            }
        }
    }

    /**
     * Queries the states of the nodes at a keeper, which merges the inventories of all keepers that it
     * reaches.
     */
    void queryStatus(KeeperHost at) {
        if (!at.isHealthy()) {
            return;
        }
        List<List<Inventory.Row>> rows = new ArrayList<>();
        List<String> askedKeepers = new ArrayList<>();
        for (KeeperHost other : keepers) {
            if (other.isHealthy()
                    && (other == at
                            || !isPartitionedBetween(other.region, at.region) && !at.isIsolated && !other.isIsolated)) {
                askedKeepers.add(other.name());
                rows.add(RolloutText.readRows(
                                RolloutText.writeRows(other.machine.inventory().rows(nowUs())))
                        .value());
            }
        }
        long rev = at.machine.history().rev();
        Map<Inventory.NodeStatus, List<Integer>> status =
                Inventory.nodesByStatus(parameters, Inventory.merge(rows), nodes.size(), rev);
        status.forEach((nodeStatus, nodeNumbers) -> nodeNumbers.forEach(node -> count("status " + nodeStatus)));
        status.get(Inventory.NodeStatus.IN_FORCE)
                .forEach(node -> observe(new InvariantChecker.CountedInForce(nowUs(), node, rev, askedKeepers)));
        status.get(Inventory.NodeStatus.WAITS_RESTART)
                .forEach(node -> observe(new InvariantChecker.CountedInForce(nowUs(), node, rev, askedKeepers)));
    }
}
