package kitemux.sidecar;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import kitemux.app.App;
import kitemux.app.ConfigWriter;
import kitemux.app.DescriptionWatcher;
import kitemux.members.Member;
import kitemux.members.MemberListParser;
import kitemux.members.MemberSettings;
import kitemux.members.Membership;
import kitemux.members.MembershipSnapshot;
import kitemux.members.RefreshSchedule;
import kitemux.node.Node;

/**
 * A node that runs next to an application and is configured by the application's description. It reads the server
 * list, checks the servers' health, saves the membership for the next process and reconfigures the node. One thread
 * does all of this, separately from the node's event loop, and leaves all decisions to {@link Membership}.
 */
public final class Sidecar {
    /** Timeout for fetching the server list while the sidecar runs. */
    private static final long LIST_TIMEOUT_MS = 5_000;
    /** Timeout for the first fetch of the server list; shorter because the start waits for it. */
    private static final long INITIAL_LIST_TIMEOUT_MS = 2_000;
    /** Minimum interval between two saves of the membership snapshot. */
    private static final long STATE_SAVE_INTERVAL_MS = 1_000;
    /** Maximum number of faults that are logged for one invalid server list. */
    private static final int MAX_LOGGED_FAULT_COUNT = 5;

    private final Options options;
    private final LineLog log;
    private final Membership membership;
    private final DescriptionWatcher descriptionWatch;
    private final SnapshotStore snapshotStore;
    private final Path configFile;
    private final HttpFetcher fetcher = new HttpFetcher();
    private final RefreshSchedule refreshSchedule;
    private final ScheduledExecutorService executor;
    private final Set<String> serversBeingChecked = new HashSet<>();
    private final Instant startTime = Instant.now();
    private final long startNs = System.nanoTime();
    private App app;
    private Runnable reloadNode = () -> {};
    private byte[] lastReadList;
    private byte[] lastProcessedList;
    private boolean hasUnsavedState;
    /** The problem with the source of servers that was logged last; empty if the source works. */
    private String sourceProblem = "";

    /**
     * Command-line options of the sidecar.
     *
     * @param descriptionFile file with the application's description
     * @param filePollMs milliseconds between two checks of the watched files for changes
     * @param seed seed of the node's random numbers, 1 to 16 hexadecimal digits
     * @param command command line of the application, which is started once clients can connect; empty for none
     */
    public record Options(Path descriptionFile, long filePollMs, String seed, List<String> command) {}

    /**
     * Creates a sidecar without starting it.
     *
     * @param app valid description of the application
     * @param text text from which the description was read
     * @throws IOException if the temporary directory for the node's configuration cannot be created
     */
    public Sidecar(App app, String text, Options options) throws IOException {
        this.app = app;
        this.options = options;
        log = new LineLog(System.err, app.logs().json(), app.logs().queue(), Instant::now);
        App.Members memberSource = app.members();
        App.Health health = app.health();
        membership = new Membership(new MemberSettings(
                memberSource.mostLost(),
                memberSource.sureUs(),
                health == null
                        ? null
                        : new MemberSettings.HealthCheck(
                                health.fall(), health.rise(), health.mostOut(), health.holdUs(), health.mostHoldUs())));
        refreshSchedule = new RefreshSchedule(
                memberSource.refreshUs(),
                memberSource.backOffUs(),
                () -> ThreadLocalRandom.current().nextDouble());
        descriptionWatch = new DescriptionWatcher(app, text);
        snapshotStore =
                memberSource.state().isEmpty() ? null : new SnapshotStore(Path.of(memberSource.state()), app.name());
        Path folder = Files.createTempDirectory("kitemux-sidecar");
        folder.toFile().deleteOnExit();
        configFile = folder.resolve("config.json");
        configFile.toFile().deleteOnExit();
        executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "members");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Returns the Unix time in microseconds, which never goes backwards. */
    private long nowUs() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, startTime) + (System.nanoTime() - startNs) / 1_000;
    }

    /**
     * Serves until SIGTERM or, if there is an application command, until the application exits.
     *
     * @return the application's exit code, or 127 if it could not be started
     */
    public int run() throws IOException, InterruptedException {
        loadInitialMembers();
        Map<String, String> environment = new HashMap<>(System.getenv());
        // The description takes the place of the settings that a platform would pass in the environment.
        environment.keySet().removeIf(name -> name.startsWith("PROXY_"));
        environment.put("PROXY_CONFIG", configFile.toString());
        if (!app.operatorAddress().isEmpty()) {
            environment.put("PROXY_MGMT", app.operatorAddress());
        }
        reloadNode = Node.run(environment, log);
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown, "end"));
        scheduleRepeatedly(options.filePollMs(), this::pollFiles);
        scheduleRepeatedly(STATE_SAVE_INTERVAL_MS, this::saveState);
        if (!app.members().list().isEmpty()) {
            executor.schedule(this::fetchList, refreshSchedule.recordSuccess() / 1_000, TimeUnit.MILLISECONDS);
        }
        if (app.health() != null) {
            scheduleRepeatedly(app.health().everyUs() / 1_000, this::scheduleChecks);
        }
        if (options.command().isEmpty()) {
            // Waits until SIGTERM, on which the node drains and ends the process.
            Thread.currentThread().join();
        }
        return new ApplicationProcess(options.command(), log).run();
    }

    private void scheduleRepeatedly(long ms, Runnable task) {
        executor.scheduleWithFixedDelay(() -> runGuarded(task), ms, ms, TimeUnit.MILLISECONDS);
    }

    /** Runs a task and logs its exception, because the executor would not repeat a task that throws. */
    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.error("members", e);
        }
    }

    private void shutDown() {
        executor.shutdown();
        try {
            // The running task ends soon. Saving after it has ended keeps two threads from writing the snapshot.
            executor.awaitTermination(1, TimeUnit.SECONDS);
            saveState();
            // The log stays open, because the node drains concurrently and may log further lines.
            log.flush();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---------------------------------------------------------------- membership

    private void loadInitialMembers() throws IOException {
        MembershipSnapshot snapshot =
                snapshotStore == null ? null : snapshotStore.read(log).orElse(null);
        if (snapshot != null) {
            applyDecision(membership.restore(nowUs(), snapshot));
        }
        if (!app.discoveryAddress().isEmpty()) {
            // The node fetches its servers from discovery itself.
            writeConfig(ConfigWriter.toJson(app, options.seed()));
            return;
        }
        if (app.serverSource().isEmpty()) {
            applyDecision(membership.replaceAll(nowUs(), ConfigWriter.describedMembers(app)));
        } else if (!app.members().file().isEmpty()) {
            lastReadList = readListFile();
            lastProcessedList = lastReadList;
            applyList(lastReadList, app.members().file());
        } else {
            try {
                applyList(
                        fetcher.get(URI.create(app.members().list()), INITIAL_LIST_TIMEOUT_MS)
                                .join(),
                        app.members().list());
            } catch (CompletionException e) {
                reportSourceProblem(app.members().list(), failureReason(e));
            }
        }
        if (membership.isEmpty()) {
            log.info("no server is known yet: all requests are refused until one is known");
        } else if (snapshot != null) {
            log.info("began with what the process before this one knew, "
                    + (nowUs() - snapshot.savedUs()) / 1_000_000
                    + " s ago");
        }
        updateNode(membership.servers());
    }

    private static String failureReason(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }

    private byte[] readListFile() {
        try {
            return Files.readAllBytes(Path.of(app.members().file()));
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * Applies a server list from a file or from HTTP. A list with faults changes nothing.
     *
     * @param text the list, or null if it cannot be read
     * @param source file or URL of the list, for the log
     * @return whether the list was valid
     */
    private boolean applyList(byte[] text, String source) {
        List<String> faults = new ArrayList<>();
        List<Member> listed =
                text == null ? List.of() : MemberListParser.parse(text, app::isServerAddressAllowed, faults);
        if (text == null) {
            faults.add("cannot be read");
        }
        if (!faults.isEmpty()) {
            reportSourceProblem(
                    source, String.join("; ", faults.subList(0, Math.min(MAX_LOGGED_FAULT_COUNT, faults.size()))));
            return false;
        }
        if (!sourceProblem.isEmpty()) {
            sourceProblem = "";
            log.info(source + ": can be read again");
        }
        applyDecision(membership.updateFromSource(nowUs(), listed));
        return true;
    }

    /** Logs a problem when it first occurs and when it changes, but not on every poll. */
    private void reportSourceProblem(String source, String problem) {
        if (!problem.equals(sourceProblem)) {
            sourceProblem = problem;
            log.info(source + ": " + problem + "; what it said before holds");
        }
    }

    private void applyDecision(Membership.Decision decision) {
        if (decision.servers() != null) {
            hasUnsavedState = true;
            updateNode(decision.servers());
        }
        // Logged after the node has been updated, so that operators can rely on a line saying that a server drains.
        decision.messages().forEach(log::info);
    }

    private void updateNode(List<Membership.MemberStatus> servers) {
        try {
            writeConfig(ConfigWriter.toJson(
                    app,
                    servers.stream()
                            .map(server ->
                                    ConfigWriter.toServer(server.member(), server.draining(), server.startedUs()))
                            .toList(),
                    options.seed()));
            reloadNode.run();
        } catch (IOException e) {
            log.info("the configuration cannot be written: " + e);
        }
    }

    private void writeConfig(String json) throws IOException {
        Path temporaryFile = Files.writeString(configFile.resolveSibling("config.json.new"), json);
        Files.move(temporaryFile, configFile, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    // ---------------------------------------------------------------- periodic tasks

    private void pollFiles() {
        String text;
        try {
            text = Files.readString(options.descriptionFile());
        } catch (IOException e) {
            text = null;
        }
        DescriptionWatcher.Decision decision = descriptionWatch.observe(text);
        if (decision.newApp() != null) {
            app = decision.newApp();
            if (app.serverSource().isEmpty() && app.discoveryAddress().isEmpty()) {
                applyDecision(membership.replaceAll(nowUs(), ConfigWriter.describedMembers(app)));
            }
        }
        decision.messages().forEach(log::info);
        if (!app.members().file().isEmpty()) {
            pollListFile();
        }
        if (membership.nextTickUs() <= nowUs()) {
            applyDecision(membership.tick(nowUs()));
        }
    }

    /**
     * Applies the list file once two successive polls have read the same content, as for the description. A file that
     * is still being written would look invalid.
     */
    private void pollListFile() {
        byte[] current = readListFile();
        boolean unchanged = Arrays.equals(current, lastReadList);
        lastReadList = current;
        if (unchanged && !Arrays.equals(current, lastProcessedList)) {
            lastProcessedList = current;
            applyList(current, app.members().file());
        }
    }

    private void fetchList() {
        String source = app.members().list();
        fetcher.get(URI.create(source), LIST_TIMEOUT_MS)
                .whenCompleteAsync(
                        (text, failure) -> runGuarded(() -> {
                            long delayUs;
                            if (failure == null && applyList(text, source)) {
                                delayUs = refreshSchedule.recordSuccess();
                            } else {
                                delayUs = refreshSchedule.recordFailure();
                                if (failure != null) {
                                    reportSourceProblem(source, failureReason(failure));
                                }
                            }
                            executor.schedule(this::fetchList, delayUs / 1_000, TimeUnit.MILLISECONDS);
                        }),
                        executor);
    }

    /** Schedules one check of each server, spread evenly over the check interval. */
    private void scheduleChecks() {
        List<Member> servers = membership.serversToCheck();
        long intervalMs = app.health().everyUs() / 1_000;
        for (int i = 0; i < servers.size(); i++) {
            Member server = servers.get(i);
            executor.schedule(
                    () -> runGuarded(() -> checkServer(server)),
                    intervalMs * i / servers.size(),
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Checks a server unless its previous check is still in flight. */
    private void checkServer(Member server) {
        if (!serversBeingChecked.add(server.name())) {
            return;
        }
        fetcher.isHealthy(
                        URI.create("http://" + server.address() + app.health().path()),
                        app.health().timeoutUs() / 1_000)
                .whenCompleteAsync(
                        (healthy, failure) -> runGuarded(() -> {
                            serversBeingChecked.remove(server.name());
                            applyDecision(membership.recordCheck(nowUs(), server.name(), Boolean.TRUE.equals(healthy)));
                        }),
                        executor);
    }

    private void saveState() {
        if (snapshotStore == null || !hasUnsavedState) {
            return;
        }
        hasUnsavedState = false;
        try {
            snapshotStore.write(membership.snapshot(app.name(), nowUs()));
        } catch (IOException e) {
            log.info("state: cannot be written; the next process starts without it: " + e);
        }
    }
}
