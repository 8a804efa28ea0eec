package kitemux.app;

import java.util.ArrayList;
import java.util.List;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import kitemux.Balancer.Tenant;
import kitemux.config.ConfigText;
import kitemux.members.Member;

/** What a described application's node is told. */
public final class ConfigWriter {
    private static final String ZONE_NAME = "here";

    private ConfigWriter() {}

    /**
     * A configuration in the platform's form. The same description gives the same bytes.
     *
     * @param seed for random numbers, 1 to 16 hex digits
     * @throws IllegalArgumentException if the description breaks a rule: what is wrong is not written
     */
    public static String toJson(App app, String seed) {
        return toJson(app, describedServers(app), seed);
    }

    /**
     * The same of an application whose servers are told by somebody else than the description.
     *
     * @throws IllegalArgumentException as {@link #toJson(App, String)}
     */
    public static String toJson(App app, List<ConfigText.Server> servers, String seed) {
        if (!AppValidator.validate(app).isEmpty()) {
            throw new IllegalArgumentException("a description that breaks a rule is not written");
        }
        // Without a list elsewhere nobody asks for one: the node is its own discovery, and does not call it.
        String discovery = app.discoveryAddress().isEmpty() ? app.listenAddress() : app.discoveryAddress();
        return ConfigText.node(
                new ConfigText.Node(
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
    private static List<ConfigText.Server> describedServers(App app) {
        return describedMembers(app).stream()
                .map(member -> toServer(member, member.draining(), 0))
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
    public static ConfigText.Server toServer(Member member, boolean draining, long startedUs) {
        return new ConfigText.Server(
                new ServerEntry(
                        member.name(),
                        0,
                        member.rack(),
                        draining ? ServerState.DRAINING : ServerState.READY,
                        1,
                        startedUs),
                member.address());
    }

    /** What the decision module is told. */
    public static Settings toSettings(App app) {
        Settings settings = new Settings();
        settings.zones.add(ZONE_NAME);
        settings.listOnRequest = !app.discoveryAddress().isEmpty();
        settings.maxAttempts = app.limits().attempts();
        settings.cancellationAllowed = true;
        settings.hedgingAllowed = app.limits().secondCopies();
        settings.maxRetryAfterUs = app.limits().retryAfterUs();
        settings.connectTimeoutUs = app.limits().connectUs();
        settings.drainGraceUs = app.rules().drainUs();
        settings.coldCapacityRatio = app.rules().coldFrom();
        settings.warmUpUs = app.rules().coldFrom() < 1 ? app.rules().coldUs() : 0;
        settings.overloadRatio = app.rules().overload();
        settings.overloadWindowUs = app.rules().fallUs();
        app.tenants()
                .forEach(tenant -> settings.tenants.add(new Tenant(tenant.name(), app.quotaPerS() * tenant.share())));
        app.classes()
                .forEach(requestClass -> settings.classes.add(new RequestClass(
                        requestClass.name(),
                        requestClass.targetLatencyUs(),
                        0,
                        requestClass.deadlineUs(),
                        requestClass.worth(),
                        requestClass.lateWorth(),
                        requestClass.retrySafety(),
                        requestClass.dedupScope(),
                        requestClass.dedupWindowUs(),
                        false)));
        return settings;
    }
}
