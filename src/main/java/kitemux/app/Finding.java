package kitemux.app;

/**
 * A violation of a rule in a description.
 *
 * @param rule the violated rule
 * @param location path of the field or block in the form of {@link kitemux.hcl.Section}, or {@code line:column}, or
 *     empty for the whole file
 * @param message what is wrong and what the consequence would be
 */
public record Finding(Rule rule, String location, String message) {
    /** Formats the finding as a line with its location, code, message and remedy. */
    public String format() {
        return location + ": " + rule.code() + " " + message + "; " + rule.remedy();
    }
}
