package kitemux.http;

/** A request that cannot be used; the message says why. */
public final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1;

    BadRequestException(String message) {
        super(message);
    }
}
