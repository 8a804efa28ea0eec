package kitemux.config;

import java.util.Map;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.ReportField;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.Settings;
import kitemux.Balancer.Tenant;

/**
 * Turns settings by dotted names into the module's: the wire's, and the node's configuration once it is
 * flattened, so that the two cannot drift apart. Missing settings take the module's documented defaults,
 * but for the classes and their main figures, which are named as missing.
 */
public final class SettingsReader {
    private final Map<String, String> values;

    /** A setting that is missing or not as it must be. */
    public static final class BadSettingException extends Exception {
        private static final long serialVersionUID = 1;
        /** Its dotted name. */
        public final String field;
        /** What is wrong with it, to stand behind the name. */
        public final String reason;

        BadSettingException(String field, String reason) {
            super(field + " " + reason);
            this.field = field;
            this.reason = reason;
        }
    }

    private SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /** Reads settings by dotted names; lists of objects have a {@code count}, lists of values commas. */
    public static Settings read(Map<String, String> values) throws BadSettingException {
        return new SettingsReader(values).settings();
    }

    private Settings settings() throws BadSettingException {
        Settings set = new Settings();
        set.nodes = (int) whole("balancers", set.nodes);
        set.nodeIndex = (int) whole("me", set.nodeIndex);
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
        set.hedgingAllowed = flag("limits.parallelTries");
        set.cancellationAllowed = flag("limits.cancelling");
        set.probes = flag("limits.probes");
        set.maxRetryAfterUs = flag("limits.retryAfter") ? whole("limits.maxRetryAfterUs", 0) : 0;
        set.tickUs = whole("quantumUs", set.tickUs);
        set.connectTimeoutUs = whole("limits.dialTimeoutUs", set.connectTimeoutUs);
        set.listOnRequest = "on_request".equals(values.get("membershipMode"));
        set.askWithinUs = whole("rules.askWithinUs", set.askWithinUs);
        set.drainGraceUs = whole("rules.drainGraceUs", set.drainGraceUs);
        set.coldCapacityRatio = decimal("rules.coldFrom", set.coldCapacityRatio);
        set.warmUpUs = whole("rules.coldUs", set.warmUpUs);
        set.overloadRatio = decimal("rules.overloadFactor", set.overloadRatio);
        set.overloadWindowUs = whole("rules.fallUs", set.overloadWindowUs);
        set.crossZonePrice = decimal("costs.crossZone", set.crossZonePrice);
        set.warmKeys = flag("extra.warmKeys");
        for (String field : list("report.fields")) {
            set.reportFields.add(
                    switch (field) {
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

    private RequestClass requestClass(String prefix) throws BadSettingException {
        String repeat = need(prefix + "repeat");
        String group = values.getOrDefault(prefix + "group", "all");
        return new RequestClass(
                need(prefix + "name"),
                whole(prefix + "onTimeUs"),
                decimal(prefix + "aimStretch", 0),
                whole(prefix + "giveUpUs"),
                decimal(prefix + "importance", 1),
                decimal(prefix + "lateWorth", 0),
                switch (repeat) {
                    case "safe" -> RetrySafety.SAFE;
                    case "keyed" -> RetrySafety.KEYED;
                    case "unsafe" -> RetrySafety.UNSAFE;
                    default -> throw new BadSettingException(prefix + "repeat", "is unknown: " + repeat);
                },
                switch (group) {
                    case "all" -> DedupScope.ALL;
                    case "zone" -> DedupScope.ZONE;
                    case "cell" -> DedupScope.CELL;
                    default -> throw new BadSettingException(prefix + "group", "is unknown: " + group);
                },
                whole(prefix + "windowUs", 0),
                flag(prefix + "stream"));
    }

    private String need(String path) throws BadSettingException {
        String value = values.get(path);
        if (value == null) {
            throw new BadSettingException(path, "is missing");
        }
        return value;
    }

    private String[] list(String path) {
        String value = values.getOrDefault(path, "");
        return value.isEmpty() ? new String[0] : value.split(",");
    }

    private boolean flag(String path) throws BadSettingException {
        String value = values.getOrDefault(path, "false");
        return switch (value) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw new BadSettingException(path, "is neither true nor false: " + value);
        };
    }

    private long whole(String path) throws BadSettingException {
        return (long) decimal(path, need(path));
    }

    private long whole(String path, long otherwise) throws BadSettingException {
        return values.containsKey(path) ? whole(path) : otherwise;
    }

    private double decimal(String path, double otherwise) throws BadSettingException {
        return values.containsKey(path) ? decimal(path, need(path)) : otherwise;
    }

    private double decimal(String path, String text) throws BadSettingException {
        try {
            double value = Double.parseDouble(text);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Named below.
        }
        throw new BadSettingException(path, "is not a number");
    }
}
