package kitemux.node;

/** The configuration is missing or bad; the message is one line that names the field. */
final class ConfigException extends Exception {
    private static final long serialVersionUID = 1;

    ConfigException(String field, String reason) {
        super(field + " " + reason);
    }
}
