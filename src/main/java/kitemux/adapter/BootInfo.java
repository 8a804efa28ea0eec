package kitemux.adapter;

import java.util.HashMap;
import java.util.Map;

import kitemux.Balancer.Group;
import kitemux.Balancer.Repeat;
import kitemux.Balancer.ReportField;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.Settings;
import kitemux.Balancer.Tenant;

/**
 * Turns the wire's settings into the module's. Missing settings take the module's documented defaults,
 * but for the classes and their main figures, which are named as missing.
 */
final class BootInfo {
    private final Map<String, String> values = new HashMap<>();
    private final Line line;

    private BootInfo(Line line) {
        this.line = line;
        for (int i = 0; i < line.fieldCount(); i++) {
            values.put(line.key(i), line.value(i));
        }
    }

    static Settings read(Line line) throws WireException {
        return new BootInfo(line).settings();
    }

    private Settings settings() throws WireException {
        Settings set = new Settings();
        set.nodes = (int) whole("balancers", set.nodes);
        set.me = (int) whole("me", set.me);
        for (String zone : list("zones")) {
            set.zones.add(zone);
        }
        set.myZone = Math.max(0, set.zones.indexOf(values.getOrDefault("myZone", "")));
        int classes = (int) whole("classes.count", 0);
        for (int i = 0; i < classes; i++) {
            set.classes.add(requestClass("classes." + i + "."));
        }
        int tenants = (int) whole("realms.count", 0);
        for (int i = 0; i < tenants; i++) {
            String prefix = "realms." + i + ".";
            set.tenants.add(new Tenant(need(prefix + "name"), decimal(prefix + "quotaPerS", 0)));
        }
        set.overShareWorth = decimal("overShareWorth", set.overShareWorth);
        set.worthByWork = "work".equals(values.get("countedBy"));
        set.maxAttempts = (int) whole("limits.attemptsCap", set.maxAttempts);
        set.secondCopies = flag("limits.parallelTries");
        set.cancel = flag("limits.cancelling");
        set.probes = flag("limits.probes");
        set.maxRetryAfterUs = flag("limits.retryAfter") ? whole("limits.maxRetryAfterUs", 0) : 0;
        set.tickUs = whole("quantumUs", set.tickUs);
        set.connectTimeoutUs = whole("limits.dialTimeoutUs", set.connectTimeoutUs);
        set.listOnRequest = "on_request".equals(values.get("membershipMode"));
        set.askWithinUs = whole("rules.askWithinUs", set.askWithinUs);
        set.drainGraceUs = whole("rules.drainGraceUs", set.drainGraceUs);
        set.coldFrom = decimal("rules.coldFrom", set.coldFrom);
        set.coldUs = whole("rules.coldUs", set.coldUs);
        set.fallMultiple = decimal("rules.overloadFactor", set.fallMultiple);
        set.fallUs = whole("rules.fallUs", set.fallUs);
        set.crossZonePrice = decimal("costs.crossZone", set.crossZonePrice);
        set.warmKeys = flag("extra.warmKeys");
        for (String field : list("report.fields")) {
            set.reportFields.add(switch (field) {
                case "concurrent" -> ReportField.IN_FLIGHT;
                case "depth" -> ReportField.QUEUED;
                case "load_share" -> ReportField.UTILISATION;
                case "mean_ms" -> ReportField.LATENCY_MS;
                case "tps" -> ReportField.SERVED_PER_S;
                case "err_ps" -> ReportField.ERRORS_PER_S;
                default -> ReportField.OTHER;
            });
        }
        return set;
    }

    private RequestClass requestClass(String prefix) throws WireException {
        String repeat = need(prefix + "repeat");
        String group = values.getOrDefault(prefix + "group", "all");
        return new RequestClass(need(prefix + "name"), whole(prefix + "onTimeUs"),
                decimal(prefix + "aimStretch", 0), whole(prefix + "giveUpUs"),
                decimal(prefix + "importance", 1), decimal(prefix + "lateWorth", 0),
                switch (repeat) {
                    case "safe" -> Repeat.SAFE;
                    case "keyed" -> Repeat.KEYED;
                    case "unsafe" -> Repeat.UNSAFE;
                    default -> throw line.bad(prefix + "repeat", "is unknown: " + repeat);
                },
                switch (group) {
                    case "all" -> Group.ALL;
                    case "zone" -> Group.ZONE;
                    case "cell" -> Group.CELL;
                    default -> throw line.bad(prefix + "group", "is unknown: " + group);
                },
                whole(prefix + "windowUs", 0), flag(prefix + "stream"));
    }

    private String need(String path) throws WireException {
        String value = values.get(path);
        if (value == null) {
            throw line.bad(path, "is missing");
        }
        return value;
    }

    private String[] list(String path) {
        String value = values.getOrDefault(path, "");
        return value.isEmpty() ? new String[0] : value.split(",");
    }

    private boolean flag(String path) throws WireException {
        String value = values.getOrDefault(path, "false");
        return switch (value) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw line.bad(path, "is neither true nor false: " + value);
        };
    }

    private long whole(String path) throws WireException {
        return (long) decimal(path, need(path));
    }

    private long whole(String path, long otherwise) throws WireException {
        return values.containsKey(path) ? whole(path) : otherwise;
    }

    private double decimal(String path, double otherwise) throws WireException {
        return values.containsKey(path) ? decimal(path, need(path)) : otherwise;
    }

    private double decimal(String path, String text) throws WireException {
        try {
            double value = Double.parseDouble(text);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Named below.
        }
        throw line.bad(path, "is not a number");
    }
}
