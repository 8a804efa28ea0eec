package kitemux.adapter;

/** Thrown when the input violates the wire protocol. The message is one plain line for the operator. */
final class WireException extends Exception {
    private static final long serialVersionUID = 1;

    WireException(String message) {
        super(message);
    }
}
