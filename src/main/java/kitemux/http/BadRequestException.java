package kitemux.http;

/** Thrown for a request that is malformed or violates the protocol; the message states the reason. */
public final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1;

    BadRequestException(String message) {
        super(message);
    }
}
