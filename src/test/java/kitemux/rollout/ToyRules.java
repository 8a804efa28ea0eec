package kitemux.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Rules to play with: numbers alone, none negative, and {@code classes/a} and {@code classes/b} make 100
 * together. An older program knows no number from 900 on.
 */
record ToyRules(boolean isOld) implements Rules {
    static final long NOT_KNOWN_TO_OLD = 900;

    @Override
    public List<ValidationError> validate(Map<String, String> whole) {
        List<ValidationError> faults = new ArrayList<>();
        whole.forEach((path, value) -> {
            if (path.startsWith("realms/") && value.startsWith("-")) {
                faults.add(new ValidationError(path, "is negative"));
            } else if (isOld && path.startsWith("realms/") && Long.parseLong(value) >= NOT_KNOWN_TO_OLD) {
                faults.add(new ValidationError(path, "is not known to this program"));
            }
        });
        if (number(whole, "classes/a") + number(whole, "classes/b") != 100) {
            faults.add(new ValidationError("classes/a", "and classes/b do not make 100"));
        }
        return faults;
    }

    private static long number(Map<String, String> whole, String path) {
        return Long.parseLong(whole.getOrDefault(path, "50"));
    }

    @Override
    public Set<String> pathsNeedingRestart(Map<String, String> first, Map<String, String> next) {
        Set<String> found = new TreeSet<>();
        for (String path : List.of("limits/dial")) {
            if (!first.getOrDefault(path, "").equals(next.getOrDefault(path, ""))) {
                found.add(path);
            }
        }
        return found;
    }
}
