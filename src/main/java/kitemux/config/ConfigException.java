package kitemux.config;

/** Reports a missing or invalid configuration. The message is one line that names the field. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception for one field.
     *
     * @param field dotted name of the field
     * @param reason what is wrong with the field; follows its name in the message
     */
    public ConfigException(String field, String reason) {
        super(field + " " + reason);
    }
}
