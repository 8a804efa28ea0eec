package kitemux.app;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import kitemux.config.Json;

/**
 * Converts a node's configuration in the platform's JSON format, such as one that was edited by hand, to a
 * description in HCL. Every setting that a description cannot express is listed in the result.
 */
public final class ConfigMigration {
    private final StringBuilder text = new StringBuilder();
    private final List<String> omitted = new ArrayList<>();
    private final Json json;

    private ConfigMigration(Json json) {
        this.json = json;
    }

    /**
     * Result of a migration.
     *
     * @param text the description; it has not been checked and may be invalid
     * @param omitted a line for each setting that could not be converted exactly
     */
    public record Result(String text, List<String> omitted) {}

    /**
     * Converts a configuration.
     *
     * @param config the JSON text in UTF-8
     * @throws IOException if the configuration is not JSON or has no settings
     */
    public static Result migrate(byte[] config) throws IOException {
        Json json = Json.read(config);
        if (!json.path("settings").isObject()) {
            throw new IOException("the configuration has no object \"settings\"");
        }
        ConfigMigration migration = new ConfigMigration(json);
        migration.migrateAll();
        return new Result(migration.text.toString(), migration.omitted);
    }

    private void migrateAll() {
        Json settings = json.path("settings");
        appendLine("# Migrated from a node's configuration.");
        text(
                "name",
                json.path("name").asText().isEmpty()
                        ? "migrated"
                        : json.path("name").asText());
        text("listen", json.path("listen").asText());
        if (!json.path("mgmt").asText().isEmpty()) {
            text("operators", json.path("mgmt").asText());
        }
        if (settings.path("membershipMode").asText().equals("on_request")) {
            text("discovery", json.path("discovery").asText());
        } else if (!json.path("discovery").asText().equals(json.path("listen").asText())) {
            omitted.add("discovery: its lists are pushed to the node; the servers are taken from the configuration");
        }
        migrateClasses(settings.path("classes"));
        migrateTenants(settings.path("realms"));
        migrateServers(json.path("known").path("targets"));
        migrateLimits(settings);
        migrateRules(settings.path("rules"));
        reportUnsupported(settings);
    }

    private void appendLine(String line) {
        text.append(line).append('\n');
    }

    private void text(String field, String value) {
        appendLine(field + " = \"" + value + "\"");
    }

    private static String time(long durationUs) {
        return durationUs % 1_000_000 == 0
                ? durationUs / 1_000_000 + "s"
                : durationUs % 1_000 == 0 ? durationUs / 1_000 + "ms" : durationUs + "us";
    }

    private void time(String field, Json source, String name) {
        if (!source.path(name).isMissing()) {
            text("  " + field, time(source.path(name).asLong(0)));
        }
    }

    private void appendNumber(String field, Json source, String name) {
        if (!source.path(name).isMissing()) {
            appendLine("  " + field + " = " + formatNumber(source.path(name).asDouble(0)));
        }
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    private void migrateClasses(Json classes) {
        List<String> neverTwiceNames = new ArrayList<>();
        long longestWindowUs = 0;
        boolean rackScoped = false;
        for (Json requestClass : classes) {
            String repeat = requestClass.path("repeat").asText();
            String group = requestClass.path("group").asText();
            if (repeat.equals("unsafe")) {
                neverTwiceNames.add("\"" + requestClass.path("name").asText() + "\"");
            }
            appendLine("\nclass \"" + requestClass.path("name").asText() + "\" {");
            text("  again", repeat.equals("unsafe") ? "never-twice" : repeat);
            if (repeat.equals("keyed")) {
                longestWindowUs =
                        Math.max(longestWindowUs, requestClass.path("windowUs").asLong(0));
                rackScoped |= group.equals("cell");
                text("  group", group.equals("cell") ? "rack" : "all");
                time("window", requestClass, "windowUs");
            }
            if (group.equals("zone")) {
                omitted.add("class " + requestClass.path("name").asText()
                        + ": its group is a zone; a description supports only rack and all");
            }
            time("aim", requestClass, "onTimeUs");
            time("deadline", requestClass, "giveUpUs");
            appendNumber("worth", requestClass, "importance");
            appendNumber("late_worth", requestClass, "lateWorth");
            appendLine("}");
            if (requestClass.path("stream").asBoolean()
                    || requestClass.path("aimStretch").asDouble(0) != 0) {
                omitted.add("class " + requestClass.path("name").asText()
                        + ": stream and aimStretch have no equivalent in a description");
            }
        }
        if (!neverTwiceNames.isEmpty()) {
            appendLine("\nnever_twice = [" + String.join(", ", neverTwiceNames) + "]");
        }
        if (longestWindowUs > 0) {
            // A configuration does not say how long servers remember keys: they must keep them for the longest window.
            appendLine("\nkeys {");
            text("  kept", time(longestWindowUs));
            text("  shared", rackScoped ? "rack" : "all");
            appendLine("}");
            omitted.add("keys: kept and shared are only what the classes rely on;"
                    + " confirm"
                    + " both with the operators of the servers");
        }
    }

    private void migrateTenants(Json realms) {
        double totalQuotaPerS = 0;
        for (Json realm : realms) {
            totalQuotaPerS += realm.path("quotaPerS").asDouble(0);
        }
        if (totalQuotaPerS > 0) {
            appendLine("\nquota = " + formatNumber(totalQuotaPerS));
            for (Json realm : realms) {
                appendLine("\ntenant \"" + realm.path("name").asText() + "\" {\n  share = "
                        + formatNumber(realm.path("quotaPerS").asDouble(0) / totalQuotaPerS) + "\n}");
            }
        } else if (!realms.values().isEmpty()) {
            omitted.add("realms: none has a quota, and a description needs one to give tenants their shares");
        }
    }

    private void migrateServers(Json targets) {
        for (Json target : targets) {
            String state = target.path("state").asText();
            if (state.equals("Gone")) {
                continue;
            }
            appendLine("\nserver \"" + target.path("uid").asText() + "\" {");
            text("  address", target.path("endpoint").asText());
            appendLine("  rack = " + target.path("pod_group").asLong(0));
            if (state.equals("Terminating")) {
                text("  state", "draining");
            }
            appendLine("}");
        }
    }

    private void migrateLimits(Json settings) {
        Json limits = settings.path("limits");
        appendLine("\nlimits {");
        appendNumber("attempts", limits, "attemptsCap");
        appendLine("  second_copies = " + limits.path("parallelTries").asBoolean());
        time("connect", limits, "dialTimeoutUs");
        time("idle", limits, "connIdleUs");
        text(
                "  retry_after",
                time(
                        limits.path("retryAfter").asBoolean()
                                ? limits.path("maxRetryAfterUs").asLong(0)
                                : 0));
        appendNumber("sockets", json.path("limits"), "sockets");
        appendNumber("memory_mib", json.path("limits"), "memory_mb");
        appendLine("}");
    }

    private void migrateRules(Json rules) {
        appendLine("\nrules {");
        time("drain", rules, "drainGraceUs");
        appendNumber("cold_from", rules, "coldFrom");
        if (rules.path("coldFrom").asDouble(1) < 1) {
            time("cold", rules, "coldUs");
        }
        appendNumber("overload", rules, "overloadFactor");
        time("fall", rules, "fallUs");
        appendLine("}");
    }

    private void reportUnsupported(Json settings) {
        if (settings.path("balancers").asLong(1) > 1) {
            omitted.add(
                    "balancers: this was one of " + settings.path("balancers").asLong(1)
                            + " nodes; a described node assumes that it is the only one and applies its limits to "
                            + "all traffic");
        }
        if (settings.path("zones").values().size() > 1) {
            omitted.add("zones: a description supports only one");
        }
        for (String field : List.of("costs", "extra", "report")) {
            if (!settings.path(field).isMissing()) {
                omitted.add(field + ": has no equivalent in a description");
            }
        }
        if (settings.path("countedBy").asText().equals("work")) {
            omitted.add("countedBy: a description values each request, not each unit of work");
        }
    }
}
