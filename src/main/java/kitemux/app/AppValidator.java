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
    private static final int KIB_A_SOCKET = 32;

    private static final double EPSILON = 1e-9;

    private final App app;
    private final List<Finding> found = new ArrayList<>();

    private AppValidator(App app) {
        this.app = app;
    }

    static List<Finding> validate(App app) {
        AppValidator checks = new AppValidator(app);
        checks.found.addAll(app.rangeFindings());
        checks.classes();
        checks.servers();
        checks.sources();
        checks.health();
        checks.pools();
        checks.addresses();
        checks.shares();
        checks.limits();
        return checks.found;
    }

    private void tell(Rule rule, String at, String what) {
        found.add(new Finding(rule, at, what));
    }

    private static String at(String type, String name) {
        return type + " \"" + name + "\"";
    }

    // ---------------------------------------------------------------- what may run again

    private void classes() {
        Set<String> names = new HashSet<>();
        app.classes().forEach(work -> names.add(work.name()));
        for (String name : app.neverTwiceClasses()) {
            if (!names.contains(name)) {
                tell(Rule.UNKNOWN, "never_twice", "there is no class \"" + name + "\"");
            }
        }
        boolean orders = false;
        for (App.RequestClass work : app.classes()) {
            String at = at("class", work.name());
            orders |= work.retrySafety() == RetrySafety.UNSAFE;
            if (app.neverTwiceClasses().contains(work.name()) && work.retrySafety() != RetrySafety.UNSAFE) {
                tell(
                        Rule.NEVER_TWICE,
                        at + ".again",
                        "never_twice names it, and here it may be sent again after a"
                                + " failure: its effect could happen twice");
            }
            if (work.retrySafety() == RetrySafety.UNSAFE) {
                unsafe(work, at);
            }
            if (work.retrySafety() == RetrySafety.KEYED) {
                keyed(work, at);
            }
            times(work, at);
        }
        if (app.journalRequired() && orders && app.journal().folder().isEmpty()) {
            tell(Rule.JOURNAL, "journaled", "after a crash nobody could say whether an order was sent");
        }
    }

    private void unsafe(App.RequestClass work, String at) {
        if (work.maxAttempts() > 1) {
            tell(
                    Rule.NEVER_TWICE,
                    at + ".attempts",
                    work.maxAttempts() + " attempts let it be sent again where the" + " first may have run");
        }
        if (work.hedgingAllowed()) {
            tell(Rule.COPIES, at + ".second_copies", "two servers could each take the order");
        }
        if (work.dedupWindowUs() > 0) {
            tell(Rule.NEVER_TWICE, at + ".window", "a window says how long it may be sent again, and it may never");
        }
    }

    private void keyed(App.RequestClass work, String at) {
        if (work.dedupWindowUs() == 0) {
            tell(
                    Rule.WINDOW,
                    at + ".window",
                    "it is keyed and has no window: nothing says how long its key is good" + " for");
        } else if (work.dedupWindowUs() > app.keys().keptUs()) {
            tell(
                    Rule.WINDOW,
                    at + ".window",
                    app.keys().keptUs() == 0
                            ? "nothing says that servers remember keys at all: keys.kept is not given"
                            : "it is sent again for " + work.dedupWindowUs() / 1_000
                                    + " ms, and servers forget its key after "
                                    + app.keys().keptUs() / 1_000 + " ms: what comes later runs a second time");
        }
        if (work.dedupScope() == DedupScope.ALL && app.keys().shared() == DedupScope.CELL) {
            tell(
                    Rule.GROUP,
                    at + ".group",
                    "a repeat may go to another rack, where its key is not known: it would run" + " a second time");
        }
    }

    private void times(App.RequestClass work, String at) {
        if (work.targetLatencyUs() > work.deadlineUs()) {
            tell(Rule.TIMES, at + ".aim", "its aim lies beyond its deadline: nothing could be in time");
        }
        if (app.limits().connectUs() >= work.deadlineUs()) {
            tell(
                    Rule.ATTEMPTS,
                    at + ".deadline",
                    "opening one connection may take as long: a server that is gone" + " would use up all of it");
        }
        if (work.maxAttempts() > 0
                && work.maxAttempts() < app.limits().attempts()
                && work.retrySafety() != RetrySafety.UNSAFE) {
            tell(Rule.NOT_YET, at + ".attempts", "attempts are bounded for all classes together, by limits.attempts");
        }
        if (work.hedgingAllowed() && !app.limits().secondCopies() && work.retrySafety() != RetrySafety.UNSAFE) {
            tell(
                    Rule.NOT_YET,
                    at + ".second_copies",
                    "copies are turned on for all classes that may have them, by" + " limits.second_copies");
        }
        if (work.maxAttempts() > app.limits().attempts()) {
            tell(
                    Rule.LIMITS,
                    at + ".attempts",
                    "is beyond limits.attempts, " + app.limits().attempts());
        }
    }

    // ---------------------------------------------------------------- servers and pools

    private void servers() {
        Map<String, String> byAddress = new HashMap<>();
        for (App.Server server : app.servers()) {
            String at = at("server", server.name());
            String other = byAddress.putIfAbsent(server.address(), server.name());
            if (other != null) {
                tell(Rule.TWICE, at + ".address", "\"" + other + "\" has it too: it would get twice its share");
            }
            if (server.address().equals(app.listenAddress())) {
                tell(Rule.TWICE, at + ".address", "the program listens there itself: requests would go round");
            }
        }
        boolean toldElsewhere =
                !app.discoveryAddress().isEmpty() || !app.serverSource().isEmpty();
        if (app.servers().isEmpty() && !toldElsewhere) {
            tell(Rule.EMPTY, "discovery", "no server is described, and nothing says where their list is");
        } else if (!app.servers().isEmpty()
                && app.servers().stream().noneMatch(AppValidator::isReady)
                && !toldElsewhere) {
            tell(Rule.EMPTY, "server", "every server drains or is gone: all requests would be refused");
        }
    }

    private void sources() {
        App.Members members = app.members();
        List<String> told = new ArrayList<>();
        told.addAll(app.discoveryAddress().isEmpty() ? List.of() : List.of("discovery"));
        told.addAll(members.file().isEmpty() ? List.of() : List.of("members.file"));
        told.addAll(members.list().isEmpty() ? List.of() : List.of("members.list"));
        told.addAll(app.servers().isEmpty() || told.isEmpty() ? List.of() : List.of("server"));
        // Servers beside the platform's discovery are what a node begins with.
        if (told.size() > 1 && !told.equals(List.of("discovery", "server"))) {
            tell(
                    Rule.SOURCES,
                    told.get(1),
                    "servers come from " + String.join(" and ", told)
                            + ": when these differ nobody can say where requests go");
        }
        if (!app.serverSource().isEmpty() && !app.pools().isEmpty()) {
            tell(Rule.NOT_YET, "pool", "a pool names servers, and which there are is told by " + app.serverSource());
        }
        if (!members.list().isEmpty()) {
            try {
                URI list = new URI(members.list());
                if (!"http".equals(list.getScheme()) || list.getHost() == null || list.getPort() < 1) {
                    tell(
                            Rule.ADDRESS,
                            "members.list",
                            "\"" + members.list() + "\" is not like" + " http://10.0.0.9:8500/servers");
                } else {
                    address("members.list", list.getHost() + ":" + list.getPort(), List.of());
                }
            } catch (URISyntaxException e) {
                tell(Rule.ADDRESS, "members.list", "\"" + members.list() + "\" cannot be read: " + e.getReason());
            }
        }
        if (members.backOffUs() < members.refreshUs()) {
            tell(
                    Rule.TIMES,
                    "members.back_off",
                    "is shorter than members.refresh: a list that fails would be asked"
                            + " for more often than one that answers");
        }
    }

    private void health() {
        App.Health health = app.health();
        if (health == null) {
            return;
        }
        if (!app.discoveryAddress().isEmpty()) {
            tell(Rule.NOT_YET, "health", "the node watches discovery by itself, and nobody checks what that tells");
        }
        if (health.timeoutUs() > health.everyUs()) {
            tell(
                    Rule.TIMES,
                    "health.timeout",
                    "is longer than health.every: checks of a server that hangs would pile" + " up at it");
        }
        if (health.mostHoldUs() < health.holdUs()) {
            tell(Rule.TIMES, "health.most_hold", "is shorter than health.hold");
        }
        if (!health.path().startsWith("/") || !health.path().matches("[\\x21-\\x7e]+")) {
            tell(Rule.ADDRESS, "health.path", "\"" + health.path() + "\" is no path such as /healthz");
        }
    }

    private static boolean isReady(App.Server server) {
        return server.state() == App.State.READY;
    }

    private void pools() {
        Map<String, App.Server> servers = new HashMap<>();
        app.servers().forEach(server -> servers.put(server.name(), server));
        Set<String> pools = new HashSet<>();
        for (App.Pool pool : app.pools()) {
            pools.add(pool.name());
            String at = at("pool", pool.name()) + ".servers";
            Set<String> named = new HashSet<>();
            boolean ready = false;
            for (String name : pool.servers()) {
                App.Server server = servers.get(name);
                if (server == null) {
                    tell(Rule.UNKNOWN, at, "there is no server \"" + name + "\"");
                } else if (!isReady(server)) {
                    tell(
                            Rule.DRAINED,
                            at,
                            "\"" + name + "\" is "
                                    + (server.state() == App.State.DRAINING ? "draining" : "gone")
                                    + " and would be sent new work");
                }
                if (!named.add(name)) {
                    tell(Rule.TWICE, at, "\"" + name + "\" is there twice: it would get twice its share");
                }
                ready |= server != null && isReady(server);
            }
            if (!ready) {
                tell(Rule.EMPTY, at, "all that it serves would be refused");
            }
        }
        if (pools.size() > 1) {
            tell(Rule.NOT_YET, "pool", "one process serves one pool: " + pools.size() + " are described");
        }
        for (App.RequestClass work : app.classes()) {
            String at = at("class", work.name()) + ".pool";
            if (!work.pool().isEmpty() && !pools.contains(work.pool())) {
                tell(Rule.UNKNOWN, at, "there is no pool \"" + work.pool() + "\"");
            } else if (work.pool().isEmpty() && pools.size() > 1) {
                tell(Rule.UNSERVED, at, "there are " + pools.size() + " pools, and it names none");
            }
        }
    }

    private void addresses() {
        List<IPAddress> networks = new ArrayList<>();
        for (String network : app.networks()) {
            IPAddress read = new IPAddressString(network).getAddress();
            if (read == null || !read.isPrefixed()) {
                tell(Rule.ADDRESS, "networks", "\"" + network + "\" is no network such as 10.0.0.0/8");
            } else {
                networks.add(read.toPrefixBlock());
            }
        }
        address("listen", app.listenAddress(), List.of());
        if (!app.operatorAddress().isEmpty()) {
            address("operators", app.operatorAddress(), List.of());
            if (app.operatorAddress().equals(app.listenAddress())) {
                tell(Rule.TWICE, "operators", "clients connect there");
            }
        }
        if (!app.discoveryAddress().isEmpty()) {
            address("discovery", app.discoveryAddress(), List.of());
            if (app.discoveryAddress().equals(app.listenAddress())) {
                tell(Rule.TWICE, "discovery", "the program listens there itself");
            }
        }
        app.servers().forEach(server -> address(at("server", server.name()) + ".address", server.address(), networks));
    }

    /**
     * Whether a server may have this address: one that can be read and lies in the networks that there are.
     *
     */
    static boolean isAllowed(String address, List<String> networks) {
        AppValidator none = new AppValidator(null);
        none.address(
                "",
                address,
                networks.stream()
                        .map(one -> new IPAddressString(one).getAddress().toPrefixBlock())
                        .toList());
        return none.found.isEmpty();
    }

    private void address(String at, String text, List<IPAddress> networks) {
        int colon = text.lastIndexOf(':');
        IPAddress host = colon <= 0 ? null : new IPAddressString(text.substring(0, colon)).getAddress();
        boolean port = colon > 0
                && text.substring(colon + 1).matches("[1-9]\\d{0,4}")
                && Integer.parseInt(text.substring(colon + 1)) <= 65_535;
        // The library reads 127.1 and 0x7f.0.0.1 as well, which other readers take for something else.
        if (host == null
                || !host.isIPv4()
                || host.isMultiple()
                || !port
                || !host.toCanonicalString().equals(text.substring(0, colon))) {
            tell(
                    Rule.ADDRESS,
                    at,
                    "\"" + text + "\" is no IPv4 address with a port from 1 to 65535; names are not" + " looked up");
        } else if (!networks.isEmpty() && networks.stream().noneMatch(network -> network.contains(host))) {
            tell(Rule.ADDRESS, at, "\"" + text + "\" lies in none of networks");
        }
    }

    // ---------------------------------------------------------------- shares and limits

    private void shares() {
        double sum = 0;
        for (App.Tenant tenant : app.tenants()) {
            sum += tenant.share();
        }
        if (sum > 1 + EPSILON) {
            tell(Rule.SHARES, "tenant", "shares sum to " + sum);
        }
        if (!app.tenants().isEmpty() && app.quotaPerS() == 0) {
            tell(Rule.SHARES, "quota", "shares are parts of a quota, and it is not above 0");
        }
    }

    private void limits() {
        App.Limits limits = app.limits();
        if ((long) limits.sockets() * KIB_A_SOCKET > (long) limits.memoryMiB() << 9) {
            tell(
                    Rule.LIMITS,
                    "limits.sockets",
                    "with all of them in use their buffers alone take more than half of " + limits.memoryMiB()
                            + " MiB");
        }
        App.Rules rules = app.rules();
        if (rules.coldFrom() < 1 && rules.coldUs() == 0) {
            tell(Rule.TIMES, "rules.cold", "servers start cold, and nothing says for how long");
        }
    }
}
