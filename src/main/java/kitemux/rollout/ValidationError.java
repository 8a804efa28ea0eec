package kitemux.rollout;

/**
 * A problem found in a configuration or in a message, with the place where it was found.
 *
 * @param path path in the configuration, or dotted name of a field
 * @param reason description of the problem, phrased to follow the path in a message
 */
public record ValidationError(String path, String reason) {
    @Override
    public String toString() {
        return path + " " + reason;
    }
}
