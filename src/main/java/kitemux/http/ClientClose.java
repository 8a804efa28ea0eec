package kitemux.http;

/**
 * How a client connection was closed.
 *
 * @param reason the reason
 * @param unsentBytes bytes queued for the client that its socket had not taken
 * @param waitingMs for how long the connection had been waiting for its client to send or to take something, in milliseconds
 * @param detail what the system reported, or an empty string
 */
public record ClientClose(CloseReason reason, long unsentBytes, long waitingMs, String detail) {}
