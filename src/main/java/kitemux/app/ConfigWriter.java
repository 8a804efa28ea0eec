package kitemux.app;

import java.util.ArrayList;
import java.util.List;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import kitemux.Balancer.Tenant;
import kitemux.config.ConfigFormatter;
import kitemux.members.Member;

/** What a described application's node is told. */
public final class ConfigWriter {
    private static final String ZONE = "here";

    private ConfigWriter() {}

    /**
     * A configuration in the platform's form. The same description gives the same bytes.
     *
     * @param seed for random numbers, 1 to 16 hex digits
     * @throws IllegalArgumentException if the description breaks a rule: what is wrong is not written
     */
    public static String toJson(App app, String seed) {
        return toJson(app, servers(app), seed);
    }

    /**
     * The same of an application whose servers are told by somebody else than the description.
     *
     * @throws IllegalArgumentException as {@link #toJson(App, String)}
     */
    public static String toJson(App app, List<ConfigFormatter.Server> servers, String seed) {
        if (!AppValidator.validate(app).isEmpty()) {
            throw new IllegalArgumentException("a description that breaks a rule is not written");
        }
        // Without a list elsewhere nobody asks for one: the node is its own discovery, and does not call it.
        String discovery = app.discoveryAddress().isEmpty() ? app.listenAddress() : app.discoveryAddress();
        return ConfigFormatter.formatNode(
                new ConfigFormatter.NodeDescription(
                        app.name(),
                        app.listenAddress(),
                        discovery,
                        seed,
                        app.limits().sockets(),
                        app.limits().memoryMiB(),
                        app.limits().idleUs()),
                toSettings(app),
                servers);
    }

    /** Those that are described and get anything at all, as a node is told of them. */
    private static List<ConfigFormatter.Server> servers(App app) {
        return describedMembers(app).stream()
                .map(one -> toServer(one, one.draining(), 0))
                .toList();
    }

    /** Those that are described and get anything at all. */
    public static List<Member> describedMembers(App app) {
        List<Member> members = new ArrayList<>();
        for (App.Server server : app.servers()) {
            boolean inPool =
                    app.pools().isEmpty() || app.pools().get(0).servers().contains(server.name());
            if (server.state() != App.State.GONE && inPool) {
                members.add(
                        new Member(server.name(), server.address(), server.rack(), server.state() != App.State.READY));
            }
        }
        return members;
    }

    /**
     * A server as a node is told of it.
     *
     * @param draining whether it gets nothing new
     * @param startedUs Unix time in microseconds; 0 for long ago
     */
    public static ConfigFormatter.Server toServer(Member one, boolean draining, long startedUs) {
        return new ConfigFormatter.Server(
                new ServerEntry(
                        one.name(), 0, one.rack(), draining ? ServerState.DRAINING : ServerState.READY, 1, startedUs),
                one.address());
    }

    /** What the decision module is told. */
    public static Settings toSettings(App app) {
        Settings set = new Settings();
        set.zones.add(ZONE);
        set.listOnRequest = !app.discoveryAddress().isEmpty();
        set.maxAttempts = app.limits().attempts();
        set.cancellationAllowed = true;
        set.hedgingAllowed = app.limits().secondCopies();
        set.maxRetryAfterUs = app.limits().retryAfterUs();
        set.connectTimeoutUs = app.limits().connectUs();
        set.drainGraceUs = app.rules().drainUs();
        set.coldCapacityRatio = app.rules().coldFrom();
        set.warmUpUs = app.rules().coldFrom() < 1 ? app.rules().coldUs() : 0;
        set.overloadRatio = app.rules().overload();
        set.overloadWindowUs = app.rules().fallUs();
        app.tenants().forEach(tenant -> set.tenants.add(new Tenant(tenant.name(), app.quotaPerS() * tenant.share())));
        app.classes()
                .forEach(work -> set.classes.add(new RequestClass(
                        work.name(),
                        work.targetLatencyUs(),
                        0,
                        work.deadlineUs(),
                        work.worth(),
                        work.lateWorth(),
                        work.retrySafety(),
                        work.dedupScope(),
                        work.dedupWindowUs(),
                        false)));
        return set;
    }
}
