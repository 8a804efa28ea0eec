package kitemux.config;

import java.util.Map;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.ReportField;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.Settings;
import kitemux.Balancer.Tenant;

/**
 * Reads the balancer's settings from dotted names. The simulator's protocol and the node's flattened configuration both
 * use it, so that the two cannot diverge. Missing settings get the balancer's documented defaults, except for the
 * required fields of classes, which are reported as missing.
 */
public final class SettingsReader {
    private final Map<String, String> values;

    /** Reports a setting that is missing or invalid. */
    public static final class BadSettingException extends Exception {
        private static final long serialVersionUID = 1;
        /** Dotted name of the setting. */
        public final String field;
        /** What is wrong with the setting; follows its name in the message. */
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

    /**
     * Reads settings by dotted names. Lists of objects have a {@code count}; lists of values are separated by commas.
     */
    public static Settings read(Map<String, String> values) throws BadSettingException {
        return new SettingsReader(values).settings();
    }

    private Settings settings() throws BadSettingException {
        Settings settings = new Settings();
        settings.nodes = (int) longValue("balancers", settings.nodes);
        settings.nodeIndex = (int) longValue("me", settings.nodeIndex);
        for (String zone : listValue("zones")) {
            settings.zones.add(zone);
        }
        settings.myZone = Math.max(0, settings.zones.indexOf(values.getOrDefault("myZone", "")));
        int classes = (int) longValue("classes.count", 0);
        for (int i = 0; i < classes; i++) {
            settings.classes.add(requestClass("classes." + i + "."));
        }
        int tenants = (int) longValue("realms.count", 0);
        for (int i = 0; i < tenants; i++) {
            String prefix = "realms." + i + ".";
            settings.tenants.add(new Tenant(requiredValue(prefix + "name"), doubleValue(prefix + "quotaPerS", 0)));
        }
        settings.overShareWorth = doubleValue("overShareWorth", settings.overShareWorth);
        settings.worthByWork = "work".equals(values.get("countedBy"));
        settings.maxAttempts = (int) longValue("limits.attemptsCap", settings.maxAttempts);
        settings.hedgingAllowed = booleanValue("limits.parallelTries");
        settings.cancellationAllowed = booleanValue("limits.cancelling");
        settings.probes = booleanValue("limits.probes");
        settings.maxRetryAfterUs = booleanValue("limits.retryAfter") ? longValue("limits.maxRetryAfterUs", 0) : 0;
        settings.tickUs = longValue("quantumUs", settings.tickUs);
        settings.connectTimeoutUs = longValue("limits.dialTimeoutUs", settings.connectTimeoutUs);
        settings.listOnRequest = "on_request".equals(values.get("membershipMode"));
        settings.askWithinUs = longValue("rules.askWithinUs", settings.askWithinUs);
        settings.drainGraceUs = longValue("rules.drainGraceUs", settings.drainGraceUs);
        settings.coldCapacityRatio = doubleValue("rules.coldFrom", settings.coldCapacityRatio);
        settings.warmUpUs = longValue("rules.coldUs", settings.warmUpUs);
        settings.overloadRatio = doubleValue("rules.overloadFactor", settings.overloadRatio);
        settings.overloadWindowUs = longValue("rules.fallUs", settings.overloadWindowUs);
        settings.crossZonePrice = doubleValue("costs.crossZone", settings.crossZonePrice);
        settings.warmKeys = booleanValue("extra.warmKeys");
        for (String field : listValue("report.fields")) {
            settings.reportFields.add(
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
        return settings;
    }

    private RequestClass requestClass(String prefix) throws BadSettingException {
        String repeat = requiredValue(prefix + "repeat");
        String group = values.getOrDefault(prefix + "group", "all");
        return new RequestClass(
                requiredValue(prefix + "name"),
                longValue(prefix + "onTimeUs"),
                doubleValue(prefix + "aimStretch", 0),
                longValue(prefix + "giveUpUs"),
                doubleValue(prefix + "importance", 1),
                doubleValue(prefix + "lateWorth", 0),
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
                longValue(prefix + "windowUs", 0),
                booleanValue(prefix + "stream"));
    }

    private String requiredValue(String path) throws BadSettingException {
        String value = values.get(path);
        if (value == null) {
            throw new BadSettingException(path, "is missing");
        }
        return value;
    }

    private String[] listValue(String path) {
        String value = values.getOrDefault(path, "");
        return value.isEmpty() ? new String[0] : value.split(",");
    }

    private boolean booleanValue(String path) throws BadSettingException {
        String value = values.getOrDefault(path, "false");
        return switch (value) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw new BadSettingException(path, "is neither true nor false: " + value);
        };
    }

    private long longValue(String path) throws BadSettingException {
        return (long) doubleValue(path, requiredValue(path));
    }

    private long longValue(String path, long defaultValue) throws BadSettingException {
        return values.containsKey(path) ? longValue(path) : defaultValue;
    }

    private double doubleValue(String path, double defaultValue) throws BadSettingException {
        return values.containsKey(path) ? doubleValue(path, requiredValue(path)) : defaultValue;
    }

    private double doubleValue(String path, String text) throws BadSettingException {
        try {
            double value = Double.parseDouble(text);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new BadSettingException(path, "is not a number");
    }
}
