package kitemux.keeper;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import kitemux.config.ConfigException;
import kitemux.config.Json;
import kitemux.config.SettingsReader;
import kitemux.net.Addresses;
import kitemux.rollout.History;
import kitemux.rollout.ProtocolParameters;
import kitemux.rollout.Rules;
import kitemux.rollout.ValidationError;

/**
 * What paths of a configuration mean: fields by the names that a node's file has them under, read by the same
 * reader. Each value stands for itself, so what was sound is not looked at again. For one thread.
 */
public final class ConfigRules implements Rules {
    private static final List<String> LIVE_OF_CLASS = List.of("onTimeUs", "giveUpUs", "importance", "lateWorth");
    private static final List<String> OF_CLASS = List.of(
            "onTimeUs", "giveUpUs", "importance", "lateWorth", "aimStretch", "repeat", "group", "windowUs", "stream");
    private static final List<String> LIMITS = List.of(
            "attemptsCap", "parallelTries", "cancelling", "probes", "retryAfter", "maxRetryAfterUs", "dialTimeoutUs");
    private static final String KNOWN =
            "known are realms/NAME, classes/NAME, limits/NAME, overShareWorth, " + "discovery, " + History.VOTERS_PATH;

    /** Values that were sound, by path. */
    private final Map<String, String> sound = new HashMap<>();

    @Override
    public List<ValidationError> validate(Map<String, String> whole) {
        if (sound.size() > 2 * ProtocolParameters.MAX_PATH_COUNT) {
            sound.clear();
        }
        List<ValidationError> faults = new ArrayList<>();
        whole.forEach((path, value) -> {
            if (!value.equals(sound.get(path))) {
                int before = faults.size();
                check(path, value, faults);
                if (faults.size() == before) {
                    sound.put(path, value);
                }
            }
        });
        return faults;
    }

    private static void check(String path, String value, List<ValidationError> faults) {
        Json json;
        try {
            json = Json.read(value.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            faults.add(new ValidationError(path, "is not JSON: " + e.getMessage()));
            return;
        }
        int slash = path.indexOf('/');
        String name = path.substring(slash + 1);
        switch (slash < 0 ? path : path.substring(0, slash + 1)) {
            case "realms/" -> realm(path, json, faults);
            case "classes/" -> requestClass(path, name, json, faults);
            case "limits/" -> limit(path, name, json, faults);
            case "overShareWorth" -> notNegative(path, "", json, faults);
            case "discovery" -> discovery(path, json, faults);
            default -> {
                if (!path.equals(History.VOTERS_PATH)) {
                    faults.add(new ValidationError(path, "is not known; " + KNOWN));
                }
            }
        }
    }

    private static boolean hasFields(String path, Json json, List<String> known, List<ValidationError> faults) {
        if (!json.isObject()) {
            faults.add(new ValidationError(path, "is no object"));
            return false;
        }
        int before = faults.size();
        json.fields().forEach((field, value) -> {
            if (!known.contains(field)) {
                faults.add(new ValidationError(path, field + " is not known; known are " + String.join(", ", known)));
            } else if (value.isObject() || value.isList()) {
                faults.add(new ValidationError(path, field + " is no plain value"));
            }
        });
        return faults.size() == before;
    }

    private static void notNegative(String path, String field, Json json, List<ValidationError> faults) {
        double value = json.asDouble(Double.NaN);
        if (json.isString() || Double.isNaN(value)) {
            faults.add(new ValidationError(path, field + "is not a number"));
        } else if (value < 0) {
            faults.add(new ValidationError(path, field + "is negative"));
        }
    }

    private static void realm(String path, Json json, List<ValidationError> faults) {
        if (hasFields(path, json, List.of("quotaPerS"), faults)) {
            notNegative(path, "quotaPerS ", json.path("quotaPerS"), faults);
        }
    }

    private static void requestClass(String path, String name, Json json, List<ValidationError> faults) {
        if (!hasFields(path, json, OF_CLASS, faults)) {
            return;
        }
        Map<String, String> flat = new HashMap<>();
        flat.put("classes.count", "1");
        flat.put("classes.0.name", name);
        json.fields().forEach((field, value) -> flat.put("classes.0." + field, value.asText()));
        try {
            SettingsReader.read(flat).validate();
        } catch (SettingsReader.BadSettingException e) {
            faults.add(new ValidationError(path, e.field.substring("classes.0.".length()) + " " + e.reason));
        } catch (IllegalArgumentException e) {
            faults.add(new ValidationError(path, e.getMessage()));
        }
    }

    private static void limit(String path, String name, Json json, List<ValidationError> faults) {
        if (!LIMITS.contains(name)) {
            faults.add(new ValidationError(path, "is not known; known limits are " + String.join(", ", LIMITS)));
        } else if (json.isObject() || json.isList()) {
            faults.add(new ValidationError(path, "is no plain value"));
        } else {
            try {
                SettingsReader.read(Map.of(
                                "limits." + name,
                                json.asText(),
                                "limits.retryAfter",
                                "true",
                                "classes.count",
                                "1",
                                "classes.0.name",
                                "any",
                                "classes.0.onTimeUs",
                                "1",
                                "classes.0.giveUpUs",
                                "1",
                                "classes.0.repeat",
                                "safe"))
                        .validate();
            } catch (SettingsReader.BadSettingException e) {
                faults.add(new ValidationError(path, e.reason));
            } catch (IllegalArgumentException e) {
                faults.add(new ValidationError(path, e.getMessage()));
            }
        }
    }

    private static void discovery(String path, Json json, List<ValidationError> faults) {
        try {
            Addresses.parse(path, json.asText());
        } catch (ConfigException e) {
            faults.add(new ValidationError(path, "is not address:port: " + json.asText()));
        }
    }

    // ---------------------------------------------------------------- what waits for a restart

    @Override
    public Set<String> pathsNeedingRestart(Map<String, String> first, Map<String, String> next) {
        Set<String> waits = new TreeSet<>();
        next.forEach((path, value) -> {
            if (!value.equals(first.get(path)) && !isLive(path, first.get(path), value)) {
                waits.add(path);
            }
        });
        first.keySet().stream()
                .filter(path -> !next.containsKey(path) && !isLive(path, first.get(path), null))
                .forEach(waits::add);
        return waits;
    }

    /** Whether a change of one value, null where it was not or is not there, is in force at once. */
    private static boolean isLive(String path, String before, String after) {
        if (path.startsWith("classes/")) {
            return before != null && after != null && restOfClass(before).equals(restOfClass(after));
        }
        return !path.startsWith("limits/");
    }

    private static Map<String, String> restOfClass(String value) {
        Map<String, String> rest = new HashMap<>();
        try {
            Json.read(value.getBytes(StandardCharsets.UTF_8)).fields().forEach((field, of) -> {
                if (!LIVE_OF_CLASS.contains(field)) {
                    rest.put(field, of.asText());
                }
            });
        } catch (IOException e) {
            // What is no JSON was never in force.
        }
        return rest;
    }
}
