package kitemux.rollout;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a configuration means, as far as keepers and nodes have to know. The same code for both, so that a
 * keeper lets nothing be chosen that a node of its own program would refuse.
 */
public interface Rules {
    /** All that is wrong with a whole configuration, values as JSON by path; empty where nothing is. */
    List<ValidationError> validate(Map<String, String> whole);

    /**
     * Paths whose values in {@code next} are not in force before the process starts anew, where it started
     * with {@code first}; empty where all are live.
     */
    Set<String> pathsNeedingRestart(Map<String, String> first, Map<String, String> next);
}
