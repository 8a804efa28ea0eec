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
 * A node beside an application, by its description: reads the sources of membership, checks servers, keeps
 * what it
 * knows for the next process, and tells the node. All of this is done by one thread beside the node's loop,
 * which
 * decides nothing itself: {@link Membership} does.
 */
public final class Sidecar {
    /** A list that takes longer is no list. */
    private static final long LIST_WITHIN_MS = 5_000;
    /** The first look at a list, for which the start waits. */
    private static final long FIRST_WITHIN_MS = 2_000;
    /** What has changed is left for the next process so often at most. */
    private static final long STATE_EVERY_MS = 1_000;
    /** Lines of one list's faults that are told. */
    private static final int MOST_FAULTS = 5;

    private final Options options;
    private final LineLog log;
    private final Membership members;
    private final DescriptionWatcher watch;
    private final SnapshotStore state;
    private final Path config;
    private final HttpFetcher fetch = new HttpFetcher();
    private final RefreshSchedule refresh;
    private final ScheduledExecutorService keeper;
    private final Set<String> checking = new HashSet<>();
    private final Instant beganAt = Instant.now();
    private final long beganNs = System.nanoTime();
    private App app;
    private Runnable reload = () -> {};
    private byte[] fileSeen;
    private byte[] fileTaken;
    private boolean unsaved;
    /** What is wrong with the source of servers, as it was told last; empty where nothing is. */
    private String trouble = "";

    /**
     * How it was called.
     *
     * @param descriptionFile the description
     * @param filePollMs between two looks at files
     * @param seed for the node's random numbers, 1 to 16 hex digits
     * @param command of the application, which is started once clients can connect; empty for none
     */
    public record Options(Path descriptionFile, long filePollMs, String seed, List<String> command) {}

    /**
     * @param app a description that is sound
     * @param text that it was read from
     */
    public Sidecar(App app, String text, Options options) throws IOException {
        this.app = app;
        this.options = options;
        log = new LineLog(System.err, app.logs().json(), app.logs().queue(), Instant::now);
        App.Members from = app.members();
        App.Health how = app.health();
        members = new Membership(new MemberSettings(
                from.mostLost(),
                from.sureUs(),
                how == null
                        ? null
                        : new MemberSettings.HealthCheck(
                                how.fall(), how.rise(), how.mostOut(), how.holdUs(), how.mostHoldUs())));
        refresh = new RefreshSchedule(
                from.refreshUs(),
                from.backOffUs(),
                () -> ThreadLocalRandom.current().nextDouble());
        watch = new DescriptionWatcher(app, text);
        state = from.state().isEmpty() ? null : new SnapshotStore(Path.of(from.state()), app.name());
        Path folder = Files.createTempDirectory("kitemux-sidecar");
        folder.toFile().deleteOnExit();
        config = folder.resolve("config.json");
        config.toFile().deleteOnExit();
        keeper = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "members");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Unix time in microseconds that never goes backwards. */
    private long nowUs() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, beganAt) + (System.nanoTime() - beganNs) / 1_000;
    }

    /**
     * Serves until SIGTERM, or until the application that it was started with has ended.
     *
     * @return the application's exit code
     */
    public int run() throws IOException, InterruptedException {
        firstMembers();
        Map<String, String> env = new HashMap<>(System.getenv());
        // What a platform would say; here the description does.
        env.keySet().removeIf(name -> name.startsWith("PROXY_"));
        env.put("PROXY_CONFIG", config.toString());
        if (!app.operatorAddress().isEmpty()) {
            env.put("PROXY_MGMT", app.operatorAddress());
        }
        reload = Node.run(env, log);
        Runtime.getRuntime().addShutdownHook(new Thread(this::end, "end"));
        every(options.filePollMs(), this::look);
        every(STATE_EVERY_MS, this::save);
        if (!app.members().list().isEmpty()) {
            keeper.schedule(this::askForList, refresh.recordSuccess() / 1_000, TimeUnit.MILLISECONDS);
        }
        if (app.health() != null) {
            every(app.health().everyUs() / 1_000, this::checkAll);
        }
        if (options.command().isEmpty()) {
            // Until SIGTERM, by which the node drains and ends the process.
            Thread.currentThread().join();
        }
        return new ApplicationProcess(options.command(), log).run();
    }

    private void every(long ms, Runnable what) {
        keeper.scheduleWithFixedDelay(() -> guarded(what), ms, ms, TimeUnit.MILLISECONDS);
    }

    /** A task that throws would not be run again: what it does is told and the next one tries anew. */
    private void guarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) {
            log.error("members", e);
        }
    }

    private void end() {
        keeper.shutdown();
        try {
            // What it is at is soon over; what it would write is written here, by one thread at a time.
            keeper.awaitTermination(1, TimeUnit.SECONDS);
            save();
            // The node may have a word to say still, as it drains beside this: the log goes on.
            log.flush();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---------------------------------------------------------------- which servers there are

    private void firstMembers() throws IOException {
        MembershipSnapshot left = state == null ? null : state.read(log).orElse(null);
        if (left != null) {
            take(members.restore(nowUs(), left));
        }
        if (!app.discoveryAddress().isEmpty()) {
            // The node asks for its servers itself.
            write(ConfigWriter.toJson(app, options.seed()));
            return;
        }
        if (app.serverSource().isEmpty()) {
            take(members.replaceAll(nowUs(), ConfigWriter.describedMembers(app)));
        } else if (!app.members().file().isEmpty()) {
            fileSeen = file();
            fileTaken = fileSeen;
            list(fileSeen, app.members().file());
        } else {
            try {
                list(
                        fetch.get(URI.create(app.members().list()), FIRST_WITHIN_MS)
                                .join(),
                        app.members().list());
            } catch (CompletionException e) {
                trouble(app.members().list(), reason(e));
            }
        }
        if (members.isEmpty()) {
            log.info("no server is known yet: all requests are refused until one is");
        } else if (left != null) {
            log.info("began with what the process before this one knew, "
                    + (nowUs() - left.savedUs()) / 1_000_000
                    + " s ago");
        }
        tell(members.servers());
    }

    private static String reason(Throwable failed) {
        Throwable cause =
                failed instanceof CompletionException && failed.getCause() != null ? failed.getCause() : failed;
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }

    private byte[] file() {
        try {
            return Files.readAllBytes(Path.of(app.members().file()));
        } catch (IOException e) {
            return null;
        }
    }

    /** A list has come, by file or by HTTP: whole and sound, or it changes nothing. */
    private boolean list(byte[] text, String from) {
        List<String> faults = new ArrayList<>();
        List<Member> all = text == null ? List.of() : MemberListParser.parse(text, app::isServerAddressAllowed, faults);
        if (text == null) {
            faults.add("cannot be read");
        }
        if (!faults.isEmpty()) {
            trouble(from, String.join("; ", faults.subList(0, Math.min(MOST_FAULTS, faults.size()))));
            return false;
        }
        if (!trouble.isEmpty()) {
            trouble = "";
            log.info(from + ": can be read again");
        }
        take(members.updateFromSource(nowUs(), all));
        return true;
    }

    /** Told as it begins and as it changes, and not at each look. */
    private void trouble(String from, String what) {
        if (!what.equals(trouble)) {
            trouble = what;
            log.info(from + ": " + what + "; what it said before holds");
        }
    }

    private void take(Membership.Decision decision) {
        if (decision.servers() != null) {
            unsaved = true;
            tell(decision.servers());
        }
        // Whoever reads that a server drains may rely on it.
        decision.messages().forEach(log::info);
    }

    private void tell(List<Membership.MemberStatus> serving) {
        try {
            write(ConfigWriter.toJson(
                    app,
                    serving.stream()
                            .map(one -> ConfigWriter.toServer(one.member(), one.draining(), one.startedUs()))
                            .toList(),
                    options.seed()));
            reload.run();
        } catch (IOException e) {
            log.info("the configuration cannot be written: " + e);
        }
    }

    private void write(String json) throws IOException {
        Path whole = Files.writeString(config.resolveSibling("config.json.new"), json);
        Files.move(whole, config, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    // ---------------------------------------------------------------- what is done again and again

    private void look() {
        String text;
        try {
            text = Files.readString(options.descriptionFile());
        } catch (IOException e) {
            text = null;
        }
        DescriptionWatcher.Decision decision = watch.observe(text);
        if (decision.newApp() != null) {
            app = decision.newApp();
            if (app.serverSource().isEmpty() && app.discoveryAddress().isEmpty()) {
                take(members.replaceAll(nowUs(), ConfigWriter.describedMembers(app)));
            }
        }
        decision.messages().forEach(log::info);
        if (!app.members().file().isEmpty()) {
            lookAtList();
        }
        if (members.nextTickUs() <= nowUs()) {
            take(members.tick(nowUs()));
        }
    }

    /**
     * As the description, a list counts once it was the same at two looks: one that is being written looks
     * broken.
     */
    private void lookAtList() {
        byte[] now = file();
        boolean settled = Arrays.equals(now, fileSeen);
        fileSeen = now;
        if (settled && !Arrays.equals(now, fileTaken)) {
            fileTaken = now;
            list(now, app.members().file());
        }
    }

    private void askForList() {
        String from = app.members().list();
        fetch.get(URI.create(from), LIST_WITHIN_MS)
                .whenCompleteAsync(
                        (text, failed) -> guarded(() -> {
                            long pauseUs;
                            if (failed == null && list(text, from)) {
                                pauseUs = refresh.recordSuccess();
                            } else {
                                pauseUs = refresh.recordFailure();
                                if (failed != null) {
                                    trouble(from, reason(failed));
                                }
                            }
                            keeper.schedule(this::askForList, pauseUs / 1_000, TimeUnit.MILLISECONDS);
                        }),
                        keeper);
    }

    /** Each server once, spread over the pause, and none that is being asked still. */
    private void checkAll() {
        List<Member> all = members.serversToCheck();
        long pauseMs = app.health().everyUs() / 1_000;
        for (int i = 0; i < all.size(); i++) {
            Member one = all.get(i);
            keeper.schedule(() -> guarded(() -> check(one)), pauseMs * i / all.size(), TimeUnit.MILLISECONDS);
        }
    }

    private void check(Member one) {
        if (!checking.add(one.name())) {
            return;
        }
        fetch.isHealthy(
                        URI.create("http://" + one.address() + app.health().path()),
                        app.health().timeoutUs() / 1_000)
                .whenCompleteAsync(
                        (well, failed) -> guarded(() -> {
                            checking.remove(one.name());
                            take(members.recordCheck(nowUs(), one.name(), Boolean.TRUE.equals(well)));
                        }),
                        keeper);
    }

    private void save() {
        if (state == null || !unsaved) {
            return;
        }
        unsaved = false;
        try {
            state.write(members.snapshot(app.name(), nowUs()));
        } catch (IOException e) {
            log.info("state: cannot be written, and the next process begins without it: " + e);
        }
    }
}
