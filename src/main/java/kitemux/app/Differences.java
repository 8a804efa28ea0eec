package kitemux.app;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import kitemux.Balancer.RetrySafety;

/** Describes the differences between two descriptions: which traffic is affected, and how. */
public final class Differences {
    private final List<String> lines = new ArrayList<>();

    private Differences() {}

    /** Returns a line for each difference; empty if both descriptions have the same meaning. */
    public static List<String> between(App before, App next) {
        Differences differences = new Differences();
        differences.addIfChanged("name", before.name(), next.name());
        differences.addIfChanged("listen address", before.listenAddress(), next.listenAddress());
        differences.addIfChanged("operators' address", before.operatorAddress(), next.operatorAddress());
        differences.addIfChanged("discovery address", before.discoveryAddress(), next.discoveryAddress());
        differences.addIfChanged("sources of servers", before.members(), next.members());
        differences.addIfChanged("health checks", before.health(), next.health());
        differences.addIfChanged("logs", before.logs(), next.logs());
        differences.addIfChanged("networks of servers", before.networks(), next.networks());
        differences.addIfChanged(
                "classes that must never run twice:", before.neverTwiceClasses(), next.neverTwiceClasses());
        differences.addIfChanged("journal required:", before.journalRequired(), next.journalRequired());
        differences.compareByName(
                "class", before.classes(), next.classes(), App.RequestClass::name, differences::compareClasses);
        differences.compareByName(
                "server", before.servers(), next.servers(), App.Server::name, differences::compareServers);
        differences.compareByName(
                "pool",
                before.pools(),
                next.pools(),
                App.Pool::name,
                (was, now) -> differences.lines.add(
                        "pool " + now.name() + ": served by " + now.servers() + ", before by " + was.servers()));
        differences.compareByName(
                "tenant",
                before.tenants(),
                next.tenants(),
                App.Tenant::name,
                (was, now) -> differences.lines.add(
                        "tenant " + now.name() + ": " + now.share() + " of the quota, before " + was.share()));
        differences.addIfChanged("requests a second of all tenants", before.quotaPerS(), next.quotaPerS());
        differences.addIfChanged("idempotency keys on servers", before.keys(), next.keys());
        differences.addIfChanged("limits", before.limits(), next.limits());
        differences.addIfChanged("requirements of servers", before.rules(), next.rules());
        differences.addIfChanged("journal", before.journal(), next.journal());
        return differences.lines;
    }

    private void addIfChanged(String label, Object before, Object next) {
        if (!Objects.equals(before, next)) {
            lines.add(label + " " + display(next) + ", before " + display(before));
        }
    }

    private static String display(Object value) {
        return String.valueOf(value).isEmpty() ? "nowhere" : String.valueOf(value);
    }

    /** Adds the differences between two items of the same name. */
    private interface Comparison<T> {
        void compare(T before, T next);
    }

    private <T> void compareByName(
            String type, List<T> before, List<T> next, Function<T, String> name, Comparison<T> comparison) {
        Map<String, T> remaining = new LinkedHashMap<>();
        before.forEach(item -> remaining.put(name.apply(item), item));
        for (T item : next) {
            T previous = remaining.remove(name.apply(item));
            if (previous == null) {
                lines.add(type + " " + name.apply(item) + " is new");
            } else if (!previous.equals(item)) {
                comparison.compare(previous, item);
            }
        }
        remaining.keySet().forEach(removed -> lines.add(type + " " + removed + " is no longer described"));
    }

    private void compareServers(App.Server before, App.Server next) {
        String prefix = "server " + next.name();
        if (before.state() != next.state()) {
            lines.add(prefix + " is " + displayName(next.state()) + ", before " + displayName(before.state())
                    + switch (next.state()) {
                        case READY -> ": it receives its share of the requests";
                        case DRAINING -> ": it receives no new requests and completes those in flight";
                        case GONE -> ": it receives no requests";
                    });
        }
        addIfChanged(prefix + " is at", before.address(), next.address());
        addIfChanged(prefix + " is in rack", before.rack(), next.rack());
    }

    private void compareClasses(App.RequestClass before, App.RequestClass next) {
        String prefix = "class " + next.name();
        if (before.retrySafety() != next.retrySafety()) {
            lines.add(
                    prefix + " is " + displayName(next.retrySafety()) + ", before " + displayName(before.retrySafety())
                            + (before.retrySafety() == RetrySafety.UNSAFE
                                    ? ": requests MAY BE SENT AGAIN after a failure from now on"
                                    : next.retrySafety() == RetrySafety.UNSAFE
                                            ? ": requests fail where they were retried before"
                                            : ""));
        }
        addIfChanged(prefix + ": retries may reach", before.dedupScope(), next.dedupScope());
        addDurationIfChanged(prefix + ": may be retried for", before.dedupWindowUs(), next.dedupWindowUs());
        addDurationIfChanged(prefix + ": in time within", before.targetLatencyUs(), next.targetLatencyUs());
        addDurationIfChanged(prefix + ": given up after", before.deadlineUs(), next.deadlineUs());
        addIfChanged(prefix + ": worth", before.worth(), next.worth());
        addIfChanged(prefix + ": share of the worth when late", before.lateWorth(), next.lateWorth());
        addIfChanged(prefix + ": served by pool", before.pool(), next.pool());
        addIfChanged(prefix + ": maximum attempts", before.maxAttempts(), next.maxAttempts());
        addIfChanged(prefix + ": second copies", before.hedgingAllowed(), next.hedgingAllowed());
    }

    private void addDurationIfChanged(String label, long before, long next) {
        if (before != next) {
            lines.add(label + " " + next / 1_000.0 + " ms, before " + before / 1_000.0 + " ms");
        }
    }

    private static String displayName(Enum<?> constant) {
        return constant == RetrySafety.UNSAFE
                ? "never-twice"
                : constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
