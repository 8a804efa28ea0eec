package kitemux.app;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import kitemux.config.Json;

/**
 * Makes a description of a node's configuration in the platform's form, such as one that was edited by hand.
 * What a
 * description has no words for is told, never left out in silence.
 */
public final class ConfigMigration {
    private final StringBuilder text = new StringBuilder();
    private final List<String> left = new ArrayList<>();
    private final Json json;

    private ConfigMigration(Json json) {
        this.json = json;
    }

    /**
     * @param text a description, to be checked as any other
     * @param omitted what was not carried over, a line each
     */
    public record Result(String text, List<String> omitted) {}

    /**
     * Reads a configuration.
     *
     * @throws IOException if it is no JSON, or has no settings
     */
    public static Result migrate(byte[] config) throws IOException {
        Json json = Json.read(config);
        if (!json.path("settings").isObject()) {
            throw new IOException("settings is missing or not an object");
        }
        ConfigMigration one = new ConfigMigration(json);
        one.all();
        return new Result(one.text.toString(), one.left);
    }

    private void all() {
        Json set = json.path("settings");
        line("# From a node's configuration.");
        text(
                "name",
                json.path("name").asText().isEmpty()
                        ? "migrated"
                        : json.path("name").asText());
        text("listen", json.path("listen").asText());
        if (!json.path("mgmt").asText().isEmpty()) {
            text("operators", json.path("mgmt").asText());
        }
        if (set.path("membershipMode").asText().equals("on_request")) {
            text("discovery", json.path("discovery").asText());
        } else if (!json.path("discovery").asText().equals(json.path("listen").asText())) {
            left.add("discovery: lists are pushed there; servers are those that the file names");
        }
        classes(set.path("classes"));
        tenants(set.path("realms"));
        servers(json.path("known").path("targets"));
        limits(set);
        rules(set.path("rules"));
        notCarried(set);
    }

    private void line(String line) {
        text.append(line).append('\n');
    }

    private void text(String field, String value) {
        line(field + " = \"" + value + "\"");
    }

    private static String time(long us) {
        return us % 1_000_000 == 0 ? us / 1_000_000 + "s" : us % 1_000 == 0 ? us / 1_000 + "ms" : us + "us";
    }

    private void time(String field, Json from, String name) {
        if (!from.path(name).isMissing()) {
            text("  " + field, time(from.path(name).asLong(0)));
        }
    }

    private void number(String field, Json from, String name) {
        if (!from.path(name).isMissing()) {
            line("  " + field + " = " + shown(from.path(name).asDouble(0)));
        }
    }

    private static String shown(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    private void classes(Json classes) {
        List<String> never = new ArrayList<>();
        long kept = 0;
        boolean rack = false;
        for (Json of : classes) {
            String repeat = of.path("repeat").asText();
            String group = of.path("group").asText();
            if (repeat.equals("unsafe")) {
                never.add("\"" + of.path("name").asText() + "\"");
            }
            line("\nclass \"" + of.path("name").asText() + "\" {");
            text("  again", repeat.equals("unsafe") ? "never-twice" : repeat);
            if (repeat.equals("keyed")) {
                kept = Math.max(kept, of.path("windowUs").asLong(0));
                rack |= group.equals("cell");
                text("  group", group.equals("cell") ? "rack" : "all");
                time("window", of, "windowUs");
            }
            if (group.equals("zone")) {
                left.add("class " + of.path("name").asText()
                        + ": its group is a zone; a description knows racks and all");
            }
            time("aim", of, "onTimeUs");
            time("deadline", of, "giveUpUs");
            number("worth", of, "importance");
            number("late_worth", of, "lateWorth");
            line("}");
            if (of.path("stream").asBoolean() || of.path("aimStretch").asDouble(0) != 0) {
                left.add("class " + of.path("name").asText() + ": stream and aimStretch");
            }
        }
        if (!never.isEmpty()) {
            line("\nnever_twice = [" + String.join(", ", never) + "]");
        }
        if (kept > 0) {
            // What servers remember is not in a configuration: the longest window was relied on.
            line("\nkeys {");
            text("  kept", time(kept));
            text("  shared", rack ? "rack" : "all");
            line("}");
            left.add("keys: how long servers remember them and which know of them is what was relied on;"
                    + " ask who"
                    + " runs them");
        }
    }

    private void tenants(Json realms) {
        double all = 0;
        for (Json realm : realms) {
            all += realm.path("quotaPerS").asDouble(0);
        }
        if (all > 0) {
            line("\nquota = " + shown(all));
            for (Json realm : realms) {
                line("\ntenant \"" + realm.path("name").asText() + "\" {\n  share = "
                        + shown(realm.path("quotaPerS").asDouble(0) / all) + "\n}");
            }
        } else if (!realms.values().isEmpty()) {
            left.add("realms: none has a quota, and tenants are described by their shares of one");
        }
    }

    private void servers(Json targets) {
        for (Json target : targets) {
            String state = target.path("state").asText();
            if (state.equals("Gone")) {
                continue;
            }
            line("\nserver \"" + target.path("uid").asText() + "\" {");
            text("  address", target.path("endpoint").asText());
            line("  rack = " + target.path("pod_group").asLong(0));
            if (state.equals("Terminating")) {
                text("  state", "draining");
            }
            line("}");
        }
    }

    private void limits(Json set) {
        Json limits = set.path("limits");
        line("\nlimits {");
        number("attempts", limits, "attemptsCap");
        line("  second_copies = " + limits.path("parallelTries").asBoolean());
        time("connect", limits, "dialTimeoutUs");
        time("idle", limits, "connIdleUs");
        text(
                "  retry_after",
                time(
                        limits.path("retryAfter").asBoolean()
                                ? limits.path("maxRetryAfterUs").asLong(0)
                                : 0));
        number("sockets", json.path("limits"), "sockets");
        number("memory_mib", json.path("limits"), "memory_mb");
        line("}");
    }

    private void rules(Json rules) {
        line("\nrules {");
        time("drain", rules, "drainGraceUs");
        number("cold_from", rules, "coldFrom");
        if (rules.path("coldFrom").asDouble(1) < 1) {
            time("cold", rules, "coldUs");
        }
        number("overload", rules, "overloadFactor");
        time("fall", rules, "fallUs");
        line("}");
    }

    private void notCarried(Json set) {
        if (set.path("balancers").asLong(1) > 1) {
            left.add("balancers: this was one of " + set.path("balancers").asLong(1)
                    + " nodes; a described one takes itself for the only one, and its limits for all "
                    + "that there are");
        }
        if (set.path("zones").values().size() > 1) {
            left.add("zones: a description has one");
        }
        for (String field : List.of("costs", "extra", "report")) {
            if (!set.path(field).isMissing()) {
                left.add(field + ": a description has no words for it");
            }
        }
        if (set.path("countedBy").asText().equals("work")) {
            left.add("countedBy: worth counts for each request");
        }
    }
}
