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

/** What a description that can be read means, held against all rules at once. Pure. */
final class AppValidator {
    /** Buffers of a connection that is in use, and as much again for what it carries. */
    private static final int SOCKET_BUFFER_KIB = 32;

    private static final double SHARE_SUM_TOLERANCE = 1e-9;

    private final App app;
    private final List<Finding> findings = new ArrayList<>();

    private AppValidator(App app) {
        this.app = app;
    }

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

    // ---------------------------------------------------------------- what may run again

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
                        "never_twice names it, and here it may be sent again after a"
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
            addFinding(Rule.JOURNAL, "journaled", "after a crash nobody could say whether an order was sent");
        }
    }

    private void checkNeverTwiceClass(App.RequestClass requestClass, String location) {
        if (requestClass.maxAttempts() > 1) {
            addFinding(
                    Rule.NEVER_TWICE,
                    location + ".attempts",
                    requestClass.maxAttempts() + " attempts let it be sent again where the" + " first may have run");
        }
        if (requestClass.hedgingAllowed()) {
            addFinding(Rule.COPIES, location + ".second_copies", "two servers could each take the order");
        }
        if (requestClass.dedupWindowUs() > 0) {
            addFinding(
                    Rule.NEVER_TWICE,
                    location + ".window",
                    "a window says how long it may be sent again, and it may never");
        }
    }

    private void checkKeyedClass(App.RequestClass requestClass, String location) {
        if (requestClass.dedupWindowUs() == 0) {
            addFinding(
                    Rule.WINDOW,
                    location + ".window",
                    "it is keyed and has no window: nothing says how long its key is good" + " for");
        } else if (requestClass.dedupWindowUs() > app.keys().keptUs()) {
            addFinding(
                    Rule.WINDOW,
                    location + ".window",
                    app.keys().keptUs() == 0
                            ? "nothing says that servers remember keys at all: keys.kept is not given"
                            : "it is sent again for " + requestClass.dedupWindowUs() / 1_000
                                    + " ms, and servers forget its key after "
                                    + app.keys().keptUs() / 1_000 + " ms: what comes later runs a second time");
        }
        if (requestClass.dedupScope() == DedupScope.ALL && app.keys().shared() == DedupScope.CELL) {
            addFinding(
                    Rule.GROUP,
                    location + ".group",
                    "a repeat may go to another rack, where its key is not known: it would run" + " a second time");
        }
    }

    private void checkTimesAndAttempts(App.RequestClass requestClass, String location) {
        if (requestClass.targetLatencyUs() > requestClass.deadlineUs()) {
            addFinding(Rule.TIMES, location + ".aim", "its aim lies beyond its deadline: nothing could be in time");
        }
        if (app.limits().connectUs() >= requestClass.deadlineUs()) {
            addFinding(
                    Rule.ATTEMPTS,
                    location + ".deadline",
                    "opening one connection may take as long: a server that is gone" + " would use up all of it");
        }
        if (requestClass.maxAttempts() > 0
                && requestClass.maxAttempts() < app.limits().attempts()
                && requestClass.retrySafety() != RetrySafety.UNSAFE) {
            addFinding(
                    Rule.NOT_YET,
                    location + ".attempts",
                    "attempts are bounded for all classes together, by limits.attempts");
        }
        if (requestClass.hedgingAllowed()
                && !app.limits().secondCopies()
                && requestClass.retrySafety() != RetrySafety.UNSAFE) {
            addFinding(
                    Rule.NOT_YET,
                    location + ".second_copies",
                    "copies are turned on for all classes that may have them, by" + " limits.second_copies");
        }
        if (requestClass.maxAttempts() > app.limits().attempts()) {
            addFinding(
                    Rule.LIMITS,
                    location + ".attempts",
                    "is beyond limits.attempts, " + app.limits().attempts());
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
                        "\"" + existing + "\" has it too: it would get twice its share");
            }
            if (server.address().equals(app.listenAddress())) {
                addFinding(
                        Rule.TWICE, location + ".address", "the program listens there itself: requests would go round");
            }
        }
        boolean hasServerSource =
                !app.discoveryAddress().isEmpty() || !app.serverSource().isEmpty();
        if (app.servers().isEmpty() && !hasServerSource) {
            addFinding(Rule.EMPTY, "discovery", "no server is described, and nothing says where their list is");
        } else if (!app.servers().isEmpty()
                && app.servers().stream().noneMatch(AppValidator::isReady)
                && !hasServerSource) {
            addFinding(Rule.EMPTY, "server", "every server drains or is gone: all requests would be refused");
        }
    }

    private void checkServerSources() {
        App.Members members = app.members();
        List<String> sources = new ArrayList<>();
        sources.addAll(app.discoveryAddress().isEmpty() ? List.of() : List.of("discovery"));
        sources.addAll(members.file().isEmpty() ? List.of() : List.of("members.file"));
        sources.addAll(members.list().isEmpty() ? List.of() : List.of("members.list"));
        sources.addAll(app.servers().isEmpty() || sources.isEmpty() ? List.of() : List.of("server"));
        // Servers beside the platform's discovery are what a node begins with.
        if (sources.size() > 1 && !sources.equals(List.of("discovery", "server"))) {
            addFinding(
                    Rule.SOURCES,
                    sources.get(1),
                    "servers come from " + String.join(" and ", sources)
                            + ": when these differ nobody can say where requests go");
        }
        if (!app.serverSource().isEmpty() && !app.pools().isEmpty()) {
            addFinding(
                    Rule.NOT_YET, "pool", "a pool names servers, and which there are is told by " + app.serverSource());
        }
        if (!members.list().isEmpty()) {
            try {
                URI uri = new URI(members.list());
                if (!"http".equals(uri.getScheme()) || uri.getHost() == null || uri.getPort() < 1) {
                    addFinding(
                            Rule.ADDRESS,
                            "members.list",
                            "\"" + members.list() + "\" is not like" + " http://10.0.0.9:8500/servers");
                } else {
                    checkAddress("members.list", uri.getHost() + ":" + uri.getPort(), List.of());
                }
            } catch (URISyntaxException e) {
                addFinding(Rule.ADDRESS, "members.list", "\"" + members.list() + "\" cannot be read: " + e.getReason());
            }
        }
        if (members.backOffUs() < members.refreshUs()) {
            addFinding(
                    Rule.TIMES,
                    "members.back_off",
                    "is shorter than members.refresh: a list that fails would be asked"
                            + " for more often than one that answers");
        }
    }

    private void checkHealth() {
        App.Health health = app.health();
        if (health == null) {
            return;
        }
        if (!app.discoveryAddress().isEmpty()) {
            addFinding(
                    Rule.NOT_YET, "health", "the node watches discovery by itself, and nobody checks what that tells");
        }
        if (health.timeoutUs() > health.everyUs()) {
            addFinding(
                    Rule.TIMES,
                    "health.timeout",
                    "is longer than health.every: checks of a server that hangs would pile" + " up at it");
        }
        if (health.mostHoldUs() < health.holdUs()) {
            addFinding(Rule.TIMES, "health.most_hold", "is shorter than health.hold");
        }
        if (!health.path().startsWith("/") || !health.path().matches("[\\x21-\\x7e]+")) {
            addFinding(Rule.ADDRESS, "health.path", "\"" + health.path() + "\" is no path such as /healthz");
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
                                    + " and would be sent new work");
                }
                if (!seen.add(name)) {
                    addFinding(Rule.TWICE, location, "\"" + name + "\" is there twice: it would get twice its share");
                }
                hasReadyServer |= server != null && isReady(server);
            }
            if (!hasReadyServer) {
                addFinding(Rule.EMPTY, location, "all that it serves would be refused");
            }
        }
        if (poolNames.size() > 1) {
            addFinding(Rule.NOT_YET, "pool", "one process serves one pool: " + poolNames.size() + " are described");
        }
        for (App.RequestClass requestClass : app.classes()) {
            String location = locationOf("class", requestClass.name()) + ".pool";
            if (!requestClass.pool().isEmpty() && !poolNames.contains(requestClass.pool())) {
                addFinding(Rule.UNKNOWN, location, "there is no pool \"" + requestClass.pool() + "\"");
            } else if (requestClass.pool().isEmpty() && poolNames.size() > 1) {
                addFinding(Rule.UNSERVED, location, "there are " + poolNames.size() + " pools, and it names none");
            }
        }
    }

    private void checkAddresses() {
        List<IPAddress> networks = new ArrayList<>();
        for (String network : app.networks()) {
            IPAddress parsed = new IPAddressString(network).getAddress();
            if (parsed == null || !parsed.isPrefixed()) {
                addFinding(Rule.ADDRESS, "networks", "\"" + network + "\" is no network such as 10.0.0.0/8");
            } else {
                networks.add(parsed.toPrefixBlock());
            }
        }
        checkAddress("listen", app.listenAddress(), List.of());
        if (!app.operatorAddress().isEmpty()) {
            checkAddress("operators", app.operatorAddress(), List.of());
            if (app.operatorAddress().equals(app.listenAddress())) {
                addFinding(Rule.TWICE, "operators", "clients connect there");
            }
        }
        if (!app.discoveryAddress().isEmpty()) {
            checkAddress("discovery", app.discoveryAddress(), List.of());
            if (app.discoveryAddress().equals(app.listenAddress())) {
                addFinding(Rule.TWICE, "discovery", "the program listens there itself");
            }
        }
        app.servers()
                .forEach(server ->
                        checkAddress(locationOf("server", server.name()) + ".address", server.address(), networks));
    }

    /**
     * Whether a server may have this address: one that can be read and lies in the networks that there are.
     *
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
        // The library reads 127.1 and 0x7f.0.0.1 as well, which other readers take for something else.
        if (host == null
                || !host.isIPv4()
                || host.isMultiple()
                || !validPort
                || !host.toCanonicalString().equals(text.substring(0, colon))) {
            addFinding(
                    Rule.ADDRESS,
                    location,
                    "\"" + text + "\" is no IPv4 address with a port from 1 to 65535; names are not" + " looked up");
        } else if (!networks.isEmpty() && networks.stream().noneMatch(network -> network.contains(host))) {
            addFinding(Rule.ADDRESS, location, "\"" + text + "\" lies in none of networks");
        }
    }

    // ---------------------------------------------------------------- shares and limits

    private void checkShares() {
        double sum = 0;
        for (App.Tenant tenant : app.tenants()) {
            sum += tenant.share();
        }
        if (sum > 1 + SHARE_SUM_TOLERANCE) {
            addFinding(Rule.SHARES, "tenant", "shares sum to " + sum);
        }
        if (!app.tenants().isEmpty() && app.quotaPerS() == 0) {
            addFinding(Rule.SHARES, "quota", "shares are parts of a quota, and it is not above 0");
        }
    }

    private void checkLimits() {
        App.Limits limits = app.limits();
        if ((long) limits.sockets() * SOCKET_BUFFER_KIB > (long) limits.memoryMiB() << 9) {
            addFinding(
                    Rule.LIMITS,
                    "limits.sockets",
                    "with all of them in use their buffers alone take more than half of " + limits.memoryMiB()
                            + " MiB");
        }
        App.Rules rules = app.rules();
        if (rules.coldFrom() < 1 && rules.coldUs() == 0) {
            addFinding(Rule.TIMES, "rules.cold", "servers start cold, and nothing says for how long");
        }
    }
}
