package kitemux.app;

import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressString;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RetrySafety;

/**
 * Checks the meaning of a well-formed description against all rules and collects every violation. Does no I/O: host
 * names are not resolved.
 */
final class AppValidator {
    /** Memory of a connection in use: its buffers, and the same amount for the data in transit. */
    private static final int SOCKET_BUFFER_KIB = 32;

    /** Allows for rounding errors in the sum of the shares. */
    private static final double SHARE_SUM_TOLERANCE = 1e-9;

    private final App app;
    private final List<Finding> findings = new ArrayList<>();

    private AppValidator(App app) {
        this.app = app;
    }

    /** Returns all violations, beginning with the numbers outside their ranges; empty if the description is valid. */
    static List<Finding> validate(App app) {
        AppValidator validator = new AppValidator(app);
        validator.findings.addAll(app.rangeFindings());
        validator.checkClasses();
        validator.checkServers();
        validator.checkServerSources();
        validator.checkHealth();
        validator.checkPools();
        validator.checkAddresses();
        validator.checkShares();
        validator.checkLimits();
        return validator.findings;
    }

    private void addFinding(Rule rule, String location, String message) {
        findings.add(new Finding(rule, location, message));
    }

    private static String locationOf(String type, String name) {
        return type + " \"" + name + "\"";
    }

    // ---------------------------------------------------------------- retries and repeated execution

    private void checkClasses() {
        Set<String> names = new HashSet<>();
        app.classes().forEach(requestClass -> names.add(requestClass.name()));
        for (String name : app.neverTwiceClasses()) {
            if (!names.contains(name)) {
                addFinding(Rule.UNKNOWN, "never_twice", "there is no class \"" + name + "\"");
            }
        }
        boolean hasNeverTwiceClass = false;
        for (App.RequestClass requestClass : app.classes()) {
            String location = locationOf("class", requestClass.name());
            hasNeverTwiceClass |= requestClass.retrySafety() == RetrySafety.UNSAFE;
            if (app.neverTwiceClasses().contains(requestClass.name())
                    && requestClass.retrySafety() != RetrySafety.UNSAFE) {
                addFinding(
                        Rule.NEVER_TWICE,
                        location + ".again",
                        "the class is listed in never_twice but may be retried after a"
                                + " failure: its effect could happen twice");
            }
            if (requestClass.retrySafety() == RetrySafety.UNSAFE) {
                checkNeverTwiceClass(requestClass, location);
            }
            if (requestClass.retrySafety() == RetrySafety.KEYED) {
                checkKeyedClass(requestClass, location);
            }
            checkTimesAndAttempts(requestClass, location);
        }
        if (app.journalRequired()
                && hasNeverTwiceClass
                && app.journal().folder().isEmpty()) {
            addFinding(
                    Rule.JOURNAL,
                    "journaled",
                    "without a journal it is unknown after a crash whether an order was sent");
        }
    }

    private void checkNeverTwiceClass(App.RequestClass requestClass, String location) {
        if (requestClass.maxAttempts() > 1) {
            addFinding(
                    Rule.NEVER_TWICE,
                    location + ".attempts",
                    requestClass.maxAttempts() + " attempts allow a retry although the"
                            + " first attempt may have run");
        }
        if (requestClass.hedgingAllowed()) {
            addFinding(Rule.COPIES, location + ".second_copies", "two servers could both execute the request");
        }
        if (requestClass.dedupWindowUs() > 0) {
            addFinding(
                    Rule.NEVER_TWICE,
                    location + ".window",
                    "a window bounds the time for retries, and the class must not be retried");
        }
    }

    private void checkKeyedClass(App.RequestClass requestClass, String location) {
        if (requestClass.dedupWindowUs() == 0) {
            addFinding(
                    Rule.WINDOW,
                    location + ".window",
                    "the class is keyed but has no window: the time for which its key is valid is" + " unknown");
        } else if (requestClass.dedupWindowUs() > app.keys().keptUs()) {
            addFinding(
                    Rule.WINDOW,
                    location + ".window",
                    app.keys().keptUs() == 0
                            ? "keys.kept is 0 or not set: servers are not known to remember keys at all"
                            : "requests are retried for " + requestClass.dedupWindowUs() / 1_000
                                    + " ms but servers forget their keys after "
                                    + app.keys().keptUs() / 1_000 + " ms: a later retry runs a second time");
        }
        if (requestClass.dedupScope() == DedupScope.ALL && app.keys().shared() == DedupScope.CELL) {
            addFinding(
                    Rule.GROUP,
                    location + ".group",
                    "a retry may reach another rack, which does not know its key: it would run" + " a second time");
        }
    }

    private void checkTimesAndAttempts(App.RequestClass requestClass, String location) {
        if (requestClass.targetLatencyUs() > requestClass.deadlineUs()) {
            addFinding(
                    Rule.TIMES,
                    location + ".aim",
                    "the aim is longer than the deadline: a request is abandoned before the aim has passed");
        }
        if (app.limits().connectUs() >= requestClass.deadlineUs()) {
            addFinding(
                    Rule.ATTEMPTS,
                    location + ".deadline",
                    "limits.connect is not shorter: one unreachable server" + " would use up the whole deadline");
        }
        if (requestClass.maxAttempts() > 0
                && requestClass.maxAttempts() < app.limits().attempts()
                && requestClass.retrySafety() != RetrySafety.UNSAFE) {
            addFinding(
                    Rule.NOT_YET,
                    location + ".attempts",
                    "attempts can be limited only for all classes together, by limits.attempts");
        }
        if (requestClass.hedgingAllowed()
                && !app.limits().secondCopies()
                && requestClass.retrySafety() != RetrySafety.UNSAFE) {
            addFinding(
                    Rule.NOT_YET,
                    location + ".second_copies",
                    "second copies are enabled for all classes that allow them, by" + " limits.second_copies");
        }
        if (requestClass.maxAttempts() > app.limits().attempts()) {
            addFinding(
                    Rule.LIMITS,
                    location + ".attempts",
                    "exceeds limits.attempts, " + app.limits().attempts());
        }
    }

    // ---------------------------------------------------------------- servers and pools

    private void checkServers() {
        Map<String, String> byAddress = new HashMap<>();
        for (App.Server server : app.servers()) {
            String location = locationOf("server", server.name());
            String existing = byAddress.putIfAbsent(server.address(), server.name());
            if (existing != null) {
                addFinding(
                        Rule.TWICE,
                        location + ".address",
                        "\"" + existing + "\" has the same address: the server would receive twice its share");
            }
            if (server.address().equals(app.listenAddress())) {
                addFinding(
                        Rule.TWICE, location + ".address", "is the program's own listen address: requests would loop");
            }
        }
        boolean hasServerSource =
                !app.discoveryAddress().isEmpty() || !app.serverSource().isEmpty();
        if (app.servers().isEmpty() && !hasServerSource) {
            addFinding(Rule.EMPTY, "discovery", "no servers are described and no list of servers is named");
        } else if (!app.servers().isEmpty()
                && app.servers().stream().noneMatch(AppValidator::isReady)
                && !hasServerSource) {
            addFinding(Rule.EMPTY, "server", "every server is draining or gone: all requests would be refused");
        }
    }

    private void checkServerSources() {
        App.Members members = app.members();
        List<String> sources = new ArrayList<>();
        sources.addAll(app.discoveryAddress().isEmpty() ? List.of() : List.of("discovery"));
        sources.addAll(members.file().isEmpty() ? List.of() : List.of("members.file"));
        sources.addAll(members.list().isEmpty() ? List.of() : List.of("members.list"));
        sources.addAll(app.servers().isEmpty() || sources.isEmpty() ? List.of() : List.of("server"));
        // Servers may be described in addition to discovery: the node starts with them.
        if (sources.size() > 1 && !sources.equals(List.of("discovery", "server"))) {
            addFinding(
                    Rule.SOURCES,
                    sources.get(1),
                    "servers come from " + String.join(" and ", sources)
                            + ": if these differ, it is undefined which servers receive requests");
        }
        if (!app.serverSource().isEmpty() && !app.pools().isEmpty()) {
            addFinding(
                    Rule.NOT_YET, "pool", "a pool names servers, but the servers are listed by " + app.serverSource());
        }
        if (!members.list().isEmpty()) {
            try {
                URI uri = new URI(members.list());
                if (!"http".equals(uri.getScheme()) || uri.getHost() == null || uri.getPort() < 1) {
                    addFinding(
                            Rule.ADDRESS,
                            "members.list",
                            "\"" + members.list() + "\" is not a URL such as" + " http://10.0.0.9:8500/servers");
                } else {
                    checkAddress("members.list", uri.getHost() + ":" + uri.getPort(), List.of());
                }
            } catch (URISyntaxException e) {
                addFinding(
                        Rule.ADDRESS,
                        "members.list",
                        "\"" + members.list() + "\" is not a valid URL: " + e.getReason());
            }
        }
        if (members.backOffUs() < members.refreshUs()) {
            addFinding(
                    Rule.TIMES,
                    "members.back_off",
                    "is shorter than members.refresh: a failing list would be requested"
                            + " more often than a working one");
        }
    }

    private void checkHealth() {
        App.Health health = app.health();
        if (health == null) {
            return;
        }
        if (!app.discoveryAddress().isEmpty()) {
            addFinding(
                    Rule.NOT_YET,
                    "health",
                    "servers from discovery are not health-checked: the node watches discovery itself");
        }
        if (health.timeoutUs() > health.everyUs()) {
            addFinding(
                    Rule.TIMES,
                    "health.timeout",
                    "is longer than health.every: checks would pile up at a server that does not" + " answer");
        }
        if (health.mostHoldUs() < health.holdUs()) {
            addFinding(Rule.TIMES, "health.most_hold", "is shorter than health.hold");
        }
        if (!health.path().startsWith("/") || !health.path().matches("[\\x21-\\x7e]+")) {
            addFinding(Rule.ADDRESS, "health.path", "\"" + health.path() + "\" is not a path such as /healthz");
        }
    }

    private static boolean isReady(App.Server server) {
        return server.state() == App.State.READY;
    }

    private void checkPools() {
        Map<String, App.Server> serversByName = new HashMap<>();
        app.servers().forEach(server -> serversByName.put(server.name(), server));
        Set<String> poolNames = new HashSet<>();
        for (App.Pool pool : app.pools()) {
            poolNames.add(pool.name());
            String location = locationOf("pool", pool.name()) + ".servers";
            Set<String> seen = new HashSet<>();
            boolean hasReadyServer = false;
            for (String name : pool.servers()) {
                App.Server server = serversByName.get(name);
                if (server == null) {
                    addFinding(Rule.UNKNOWN, location, "there is no server \"" + name + "\"");
                } else if (!isReady(server)) {
                    addFinding(
                            Rule.DRAINED,
                            location,
                            "\"" + name + "\" is "
                                    + (server.state() == App.State.DRAINING ? "draining" : "gone")
                                    + " and would receive new requests");
                }
                if (!seen.add(name)) {
                    addFinding(
                            Rule.TWICE, location, "\"" + name + "\" is listed twice: it would receive twice its share");
                }
                hasReadyServer |= server != null && isReady(server);
            }
            if (!hasReadyServer) {
                addFinding(Rule.EMPTY, location, "no server is ready: all requests to the pool would be refused");
            }
        }
        if (poolNames.size() > 1) {
            addFinding(
                    Rule.NOT_YET, "pool", "a process serves only one pool, but " + poolNames.size() + " are described");
        }
        for (App.RequestClass requestClass : app.classes()) {
            String location = locationOf("class", requestClass.name()) + ".pool";
            if (!requestClass.pool().isEmpty() && !poolNames.contains(requestClass.pool())) {
                addFinding(Rule.UNKNOWN, location, "there is no pool \"" + requestClass.pool() + "\"");
            } else if (requestClass.pool().isEmpty() && poolNames.size() > 1) {
                addFinding(
                        Rule.UNSERVED,
                        location,
                        "there are " + poolNames.size() + " pools, and the class names none of them");
            }
        }
    }

    private void checkAddresses() {
        List<IPAddress> networks = new ArrayList<>();
        for (String network : app.networks()) {
            IPAddress parsed = new IPAddressString(network).getAddress();
            if (parsed == null || !parsed.isPrefixed()) {
                addFinding(Rule.ADDRESS, "networks", "\"" + network + "\" is not a network such as 10.0.0.0/8");
            } else {
                networks.add(parsed.toPrefixBlock());
            }
        }
        checkAddress("listen", app.listenAddress(), List.of());
        if (!app.operatorAddress().isEmpty()) {
            checkAddress("operators", app.operatorAddress(), List.of());
            if (app.operatorAddress().equals(app.listenAddress())) {
                addFinding(Rule.TWICE, "operators", "is the same address as listen, which clients connect to");
            }
        }
        if (!app.discoveryAddress().isEmpty()) {
            checkAddress("discovery", app.discoveryAddress(), List.of());
            if (app.discoveryAddress().equals(app.listenAddress())) {
                addFinding(Rule.TWICE, "discovery", "is the program's own listen address");
            }
        }
        app.servers()
                .forEach(server ->
                        checkAddress(locationOf("server", server.name()) + ".address", server.address(), networks));
    }

    /**
     * Whether a server may have this address: it must be valid and, if any networks are given, belong to one of
     * them.
     */
    static boolean isAddressAllowed(String address, List<String> networks) {
        AppValidator validator = new AppValidator(null);
        validator.checkAddress(
                "",
                address,
                networks.stream()
                        .map(network ->
                                new IPAddressString(network).getAddress().toPrefixBlock())
                        .toList());
        return validator.findings.isEmpty();
    }

    private void checkAddress(String location, String text, List<IPAddress> networks) {
        int colon = text.lastIndexOf(':');
        IPAddress host = colon <= 0 ? null : new IPAddressString(text.substring(0, colon)).getAddress();
        boolean validPort = colon > 0
                && text.substring(colon + 1).matches("[1-9]\\d{0,4}")
                && Integer.parseInt(text.substring(colon + 1)) <= 65_535;
        // The library also accepts forms such as 127.1 and 0x7f.0.0.1, which other programs parse differently.
        if (host == null
                || !host.isIPv4()
                || host.isMultiple()
                || !validPort
                || !host.toCanonicalString().equals(text.substring(0, colon))) {
            addFinding(
                    Rule.ADDRESS,
                    location,
                    "\"" + text + "\" is not an IPv4 address with a port from 1 to 65535; host names are not"
                            + " resolved");
        } else if (!networks.isEmpty() && networks.stream().noneMatch(network -> network.contains(host))) {
            addFinding(Rule.ADDRESS, location, "\"" + text + "\" belongs to none of networks");
        }
    }

    // ---------------------------------------------------------------- shares and limits

    private void checkShares() {
        double sum = 0;
        for (App.Tenant tenant : app.tenants()) {
            sum += tenant.share();
        }
        if (sum > 1 + SHARE_SUM_TOLERANCE) {
            addFinding(Rule.SHARES, "tenant", "the sum of the shares is " + sum);
        }
        if (!app.tenants().isEmpty() && app.quotaPerS() == 0) {
            addFinding(Rule.SHARES, "quota", "tenants have shares of the quota, but the quota is 0");
        }
    }

    private void checkLimits() {
        App.Limits limits = app.limits();
        if ((long) limits.sockets() * SOCKET_BUFFER_KIB > (long) limits.memoryMiB() << 9) {
            addFinding(
                    Rule.LIMITS,
                    "limits.sockets",
                    "the buffers of all sockets in use would take more than half of " + limits.memoryMiB() + " MiB");
        }
        App.Rules rules = app.rules();
        if (rules.coldFrom() < 1 && rules.coldUs() == 0) {
            addFinding(
                    Rule.TIMES,
                    "rules.cold",
                    "is 0 although rules.cold_from is below 1: servers start cold but have no warm-up time");
        }
    }
}
