package kitemux.node;

/** A request that cannot be used; the message says why. */
final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1;

    BadRequestException(String message) {
        super(message);
    }
}
