package kitemux.rollout;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The validity rules of a configuration. Keepers and nodes use the same implementation, so that a keeper
 * lets nothing be chosen that a node with the same program would reject.
 */
public interface Rules {
    /**
     * Validates a complete configuration, given as JSON values by path. Returns all errors; the list is
     * empty if the configuration is valid.
     */
    List<ValidationError> validate(Map<String, String> values);

    /**
     * Returns the paths whose values in {@code next} take effect only after a restart of a process that
     * started with {@code first}. The set is empty if all values can be applied at once.
     */
    Set<String> pathsNeedingRestart(Map<String, String> first, Map<String, String> next);
}
