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

/** Writes the configuration of a node from an application's description. */
public final class ConfigWriter {
    private static final String ZONE_NAME = "here";

    private ConfigWriter() {}

    /**
     * Returns a configuration in the platform's JSON format, with the servers of the description. The same arguments
     * give the same text.
     *
     * @param seed seed for random numbers, 1 to 16 hex digits
     * @throws IllegalArgumentException if the description is invalid
     */
    public static String toJson(App app, String seed) {
        return toJson(app, describedServers(app), seed);
    }

    /**
     * Returns a configuration in the platform's JSON format, with servers from another source than the description.
     *
     * @param seed seed for random numbers, 1 to 16 hex digits
     * @throws IllegalArgumentException as {@link #toJson(App, String)}
     */
    public static String toJson(App app, List<ConfigFormatter.Server> servers, String seed) {
        if (!AppValidator.validate(app).isEmpty()) {
            throw new IllegalArgumentException("cannot write the configuration: the description is invalid");
        }
        // A node without discovery is configured with its own address as a placeholder, which it does not call.
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

    /** Returns the described servers that receive requests, in the form of the configuration. */
    private static List<ConfigFormatter.Server> describedServers(App app) {
        return describedMembers(app).stream()
                .map(member -> toServer(member, member.draining(), 0))
                .toList();
    }

    /** Returns the described servers that are in the first pool, if there are pools, and that are not gone. */
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
     * Returns the configuration entry of a server.
     *
     * @param draining whether the server receives no new requests
     * @param startedUs start time of the server as Unix time in microseconds; 0 if it started long ago
     */
    public static ConfigFormatter.Server toServer(Member member, boolean draining, long startedUs) {
        return new ConfigFormatter.Server(
                new ServerEntry(
                        member.name(),
                        0,
                        member.rack(),
                        draining ? ServerState.DRAINING : ServerState.READY,
                        1,
                        startedUs),
                member.address());
    }

    /** Returns the settings of the decision module. */
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
