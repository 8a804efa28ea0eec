package kitemux.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Rules for tests: values under {@code realms/} are non-negative numbers, and {@code classes/a} and {@code
 * classes/b} add up to 100. An old program does not support numbers from 900 on.
 */
record SampleRules(boolean isOldProgram) implements Rules {
    static final long MIN_UNSUPPORTED_VALUE = 900;

    @Override
    public List<ValidationError> validate(Map<String, String> values) {
        List<ValidationError> errors = new ArrayList<>();
        values.forEach((path, value) -> {
            if (path.startsWith("realms/") && value.startsWith("-")) {
                errors.add(new ValidationError(path, "is negative"));
            } else if (isOldProgram && path.startsWith("realms/") && Long.parseLong(value) >= MIN_UNSUPPORTED_VALUE) {
                errors.add(new ValidationError(path, "is not supported by this program"));
            }
        });
        if (numberAt(values, "classes/a") + numberAt(values, "classes/b") != 100) {
            errors.add(new ValidationError("classes/a", "and classes/b do not add up to 100"));
        }
        return errors;
    }

    private static long numberAt(Map<String, String> values, String path) {
        return Long.parseLong(values.getOrDefault(path, "50"));
    }

    @Override
    public Set<String> pathsNeedingRestart(Map<String, String> first, Map<String, String> next) {
        Set<String> paths = new TreeSet<>();
        for (String path : List.of("limits/dial")) {
            if (!first.getOrDefault(path, "").equals(next.getOrDefault(path, ""))) {
                paths.add(path);
            }
        }
        return paths;
    }
}
