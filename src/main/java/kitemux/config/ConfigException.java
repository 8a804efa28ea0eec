package kitemux.config;

/** The configuration is missing or bad; the message is one line that names the field. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * A fault.
     *
     * @param field its dotted name
     * @param reason what is wrong with it, to stand behind the name
     */
    public ConfigException(String field, String reason) {
        super(field + " " + reason);
    }
}
