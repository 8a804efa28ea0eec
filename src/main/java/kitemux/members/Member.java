package kitemux.members;

/**
 * A server as a membership source reports it.
 *
 * @param name identifies the server and stays the same over restarts
 * @param address IPv4 address and port
 * @param rack number of the group of servers that deduplicates repeated requests by idempotency key
 * @param draining whether the server is to receive no new requests
 */
public record Member(String name, String address, int rack, boolean draining) {}
