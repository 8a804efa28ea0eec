package kitemux.app;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import kitemux.Balancer.RetrySafety;

/** What one description says otherwise than another, in words: whose traffic, and how. */
public final class Differences {
    private final List<String> lines = new ArrayList<>();

    private Differences() {}

    /** One line for each difference; empty where both mean the same. */
    public static List<String> between(App before, App next) {
        Differences all = new Differences();
        all.plain("name", before.name(), next.name());
        all.plain("clients connect at", before.listenAddress(), next.listenAddress());
        all.plain("operators call at", before.operatorAddress(), next.operatorAddress());
        all.plain("the list of servers is at", before.discoveryAddress(), next.discoveryAddress());
        all.plain("servers are told by", before.members(), next.members());
        all.plain("checks of servers", before.health(), next.health());
        all.plain("logs", before.logs(), next.logs());
        all.plain("servers must lie in", before.networks(), next.networks());
        all.plain("never twice, whatever else is said:", before.neverTwiceClasses(), next.neverTwiceClasses());
        all.plain("orders must be journaled:", before.journalRequired(), next.journalRequired());
        all.each("class", before.classes(), next.classes(), App.RequestClass::name, all::work);
        all.each("server", before.servers(), next.servers(), App.Server::name, all::server);
        all.each(
                "pool",
                before.pools(),
                next.pools(),
                App.Pool::name,
                (was, now) -> all.lines.add(
                        "pool " + now.name() + ": served by " + now.servers() + ", before by " + was.servers()));
        all.each(
                "tenant",
                before.tenants(),
                next.tenants(),
                App.Tenant::name,
                (was, now) -> all.lines.add(
                        "tenant " + now.name() + ": " + now.share() + " of the quota, before " + was.share()));
        all.plain("requests a second of all tenants", before.quotaPerS(), next.quotaPerS());
        all.plain("what servers know of keys", before.keys(), next.keys());
        all.plain("limits", before.limits(), next.limits());
        all.plain("what servers need", before.rules(), next.rules());
        all.plain("journal", before.journal(), next.journal());
        return all.lines;
    }

    private void plain(String what, Object before, Object next) {
        if (!Objects.equals(before, next)) {
            lines.add(what + " " + shown(next) + ", before " + shown(before));
        }
    }

    private static String shown(Object of) {
        return String.valueOf(of).isEmpty() ? "nowhere" : String.valueOf(of);
    }

    /** What differs between two of the same name. */
    private interface Pair<T> {
        void tell(T before, T next);
    }

    private <T> void each(String type, List<T> before, List<T> next, Function<T, String> name, Pair<T> pair) {
        Map<String, T> was = new LinkedHashMap<>();
        before.forEach(one -> was.put(name.apply(one), one));
        for (T one : next) {
            T old = was.remove(name.apply(one));
            if (old == null) {
                lines.add(type + " " + name.apply(one) + " is new");
            } else if (!old.equals(one)) {
                pair.tell(old, one);
            }
        }
        was.keySet().forEach(gone -> lines.add(type + " " + gone + " is described no more"));
    }

    private void server(App.Server before, App.Server next) {
        String of = "server " + next.name();
        if (before.state() != next.state()) {
            lines.add(of + " is " + word(next.state()) + ", before " + word(before.state())
                    + switch (next.state()) {
                        case READY -> ": it gets its part of all that comes";
                        case DRAINING -> ": it gets nothing new and finishes what it has";
                        case GONE -> ": it gets nothing";
                    });
        }
        plain(of + " is at", before.address(), next.address());
        plain(of + " is in rack", before.rack(), next.rack());
    }

    private void work(App.RequestClass before, App.RequestClass next) {
        String of = "class " + next.name();
        if (before.retrySafety() != next.retrySafety()) {
            lines.add(of + " is " + word(next.retrySafety()) + ", before " + word(before.retrySafety())
                    + (before.retrySafety() == RetrySafety.UNSAFE
                            ? ": it MAY BE SENT AGAIN after a failure from now on"
                            : next.retrySafety() == RetrySafety.UNSAFE
                                    ? ": it fails where it was sent again before"
                                    : ""));
        }
        plain(of + ": a repeat may reach", before.dedupScope(), next.dedupScope());
        micros(of + ": it may be sent again for", before.dedupWindowUs(), next.dedupWindowUs());
        micros(of + ": in time within", before.targetLatencyUs(), next.targetLatencyUs());
        micros(of + ": given up after", before.deadlineUs(), next.deadlineUs());
        plain(of + ": worth", before.worth(), next.worth());
        plain(of + ": worth when late", before.lateWorth(), next.lateWorth());
        plain(of + ": served by pool", before.pool(), next.pool());
        plain(of + ": attempts", before.maxAttempts(), next.maxAttempts());
        plain(of + ": second copies", before.hedgingAllowed(), next.hedgingAllowed());
    }

    private void micros(String what, long before, long next) {
        if (before != next) {
            lines.add(what + " " + next / 1_000.0 + " ms, before " + before / 1_000.0 + " ms");
        }
    }

    private static String word(Enum<?> of) {
        return of == RetrySafety.UNSAFE
                ? "never-twice"
                : of.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
