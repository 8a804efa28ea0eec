package kitemux.app;

/**
 * Something wrong with a description.
 *
 * @param rule what was broken
 * @param location path of the field or block, as {@link kitemux.hcl.Section} names them; or line and column; or
 * empty
 * @param message is wrong there, and what would come of it
 */
public record Finding(Rule rule, String location, String message) {
    /** As a line: code, path, what is wrong and how to mend it. */
    public String format() {
        return location + ": " + rule.code() + " " + message + "; " + rule.remedy();
    }
}
