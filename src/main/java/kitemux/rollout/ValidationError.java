package kitemux.rollout;

/**
 * Something that is wrong, and where.
 *
 * @param path of the configuration, or the dotted name of a field
 * @param reason what is wrong, to stand behind it
 */
public record ValidationError(String path, String reason) {
    @Override
    public String toString() {
        return path + " " + reason;
    }
}
