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
 * Validation rules for the paths of a configuration. Fields have the same names as in a node's configuration file
 * and are parsed by the same reader. Values are independent of each other, so a value that was valid is not
 * validated again. Not thread-safe.
 */
public final class ConfigRules implements Rules {
    private static final List<String> LIVE_CLASS_FIELDS = List.of("onTimeUs", "giveUpUs", "importance", "lateWorth");
    private static final List<String> CLASS_FIELDS = List.of(
            "onTimeUs", "giveUpUs", "importance", "lateWorth", "aimStretch", "repeat", "group", "windowUs", "stream");
    private static final List<String> LIMIT_NAMES = List.of(
            "attemptsCap", "parallelTries", "cancelling", "probes", "retryAfter", "maxRetryAfterUs", "dialTimeoutUs");
    private static final String KNOWN_PATHS_TEXT =
            "known are realms/NAME, classes/NAME, limits/NAME, overShareWorth, " + "discovery, " + History.VOTERS_PATH;

    /** Values that were found valid, by path. */
    private final Map<String, String> validValues = new HashMap<>();

    @Override
    public List<ValidationError> validate(Map<String, String> configuration) {
        if (validValues.size() > 2 * ProtocolParameters.MAX_PATH_COUNT) {
            validValues.clear();
        }
        List<ValidationError> errors = new ArrayList<>();
        configuration.forEach((path, value) -> {
            if (!value.equals(validValues.get(path))) {
                int before = errors.size();
                checkValue(path, value, errors);
                if (errors.size() == before) {
                    validValues.put(path, value);
                }
            }
        });
        return errors;
    }

    private static void checkValue(String path, String value, List<ValidationError> errors) {
        Json json;
        try {
            json = Json.read(value.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            errors.add(new ValidationError(path, "is not JSON: " + e.getMessage()));
            return;
        }
        int slash = path.indexOf('/');
        String name = path.substring(slash + 1);
        switch (slash < 0 ? path : path.substring(0, slash + 1)) {
            case "realms/" -> checkRealm(path, json, errors);
            case "classes/" -> checkClass(path, name, json, errors);
            case "limits/" -> checkLimit(path, name, json, errors);
            case "overShareWorth" -> checkNotNegative(path, "", json, errors);
            case "discovery" -> checkDiscovery(path, json, errors);
            default -> {
                if (!path.equals(History.VOTERS_PATH)) {
                    errors.add(new ValidationError(path, "is not known; " + KNOWN_PATHS_TEXT));
                }
            }
        }
    }

    private static boolean hasOnlyKnownFields(
            String path, Json json, List<String> knownFields, List<ValidationError> errors) {
        if (!json.isObject()) {
            errors.add(new ValidationError(path, "is not an object"));
            return false;
        }
        int before = errors.size();
        json.fields().forEach((field, value) -> {
            if (!knownFields.contains(field)) {
                errors.add(new ValidationError(
                        path, field + " is not known; known are " + String.join(", ", knownFields)));
            } else if (value.isObject() || value.isList()) {
                errors.add(new ValidationError(path, field + " is not a plain value"));
            }
        });
        return errors.size() == before;
    }

    private static void checkNotNegative(String path, String field, Json json, List<ValidationError> errors) {
        double value = json.asDouble(Double.NaN);
        if (json.isString() || Double.isNaN(value)) {
            errors.add(new ValidationError(path, field + "is not a number"));
        } else if (value < 0) {
            errors.add(new ValidationError(path, field + "is negative"));
        }
    }

    private static void checkRealm(String path, Json json, List<ValidationError> errors) {
        if (hasOnlyKnownFields(path, json, List.of("quotaPerS"), errors)) {
            checkNotNegative(path, "quotaPerS ", json.path("quotaPerS"), errors);
        }
    }

    private static void checkClass(String path, String name, Json json, List<ValidationError> errors) {
        if (!hasOnlyKnownFields(path, json, CLASS_FIELDS, errors)) {
            return;
        }
        Map<String, String> settings = new HashMap<>();
        settings.put("classes.count", "1");
        settings.put("classes.0.name", name);
        json.fields().forEach((field, value) -> settings.put("classes.0." + field, value.asText()));
        try {
            SettingsReader.read(settings).validate();
        } catch (SettingsReader.BadSettingException e) {
            errors.add(new ValidationError(path, e.field.substring("classes.0.".length()) + " " + e.reason));
        } catch (IllegalArgumentException e) {
            errors.add(new ValidationError(path, e.getMessage()));
        }
    }

    private static void checkLimit(String path, String name, Json json, List<ValidationError> errors) {
        if (!LIMIT_NAMES.contains(name)) {
            errors.add(new ValidationError(path, "is not known; known limits are " + String.join(", ", LIMIT_NAMES)));
        } else if (json.isObject() || json.isList()) {
            errors.add(new ValidationError(path, "is not a plain value"));
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
                errors.add(new ValidationError(path, e.reason));
            } catch (IllegalArgumentException e) {
                errors.add(new ValidationError(path, e.getMessage()));
            }
        }
    }

    private static void checkDiscovery(String path, Json json, List<ValidationError> errors) {
        try {
            Addresses.parse(path, json.asText());
        } catch (ConfigException e) {
            errors.add(new ValidationError(path, "is not address:port: " + json.asText()));
        }
    }

    // ---------------------------------------------------------------- paths that need a restart

    @Override
    public Set<String> pathsNeedingRestart(Map<String, String> initial, Map<String, String> next) {
        Set<String> paths = new TreeSet<>();
        next.forEach((path, value) -> {
            if (!value.equals(initial.get(path)) && !isLive(path, initial.get(path), value)) {
                paths.add(path);
            }
        });
        initial.keySet().stream()
                .filter(path -> !next.containsKey(path) && !isLive(path, initial.get(path), null))
                .forEach(paths::add);
        return paths;
    }

    /** Whether a change of one value takes effect without a restart; null stands for an absent value. */
    private static boolean isLive(String path, String before, String after) {
        if (path.startsWith("classes/")) {
            return before != null && after != null && restartFields(before).equals(restartFields(after));
        }
        return !path.startsWith("limits/");
    }

    private static Map<String, String> restartFields(String value) {
        Map<String, String> fields = new HashMap<>();
        try {
            Json.read(value.getBytes(StandardCharsets.UTF_8)).fields().forEach((field, fieldValue) -> {
                if (!LIVE_CLASS_FIELDS.contains(field)) {
                    fields.put(field, fieldValue.asText());
                }
            });
        } catch (IOException e) {
            // A value that is not JSON was never in force.
        }
        return fields;
    }
}
