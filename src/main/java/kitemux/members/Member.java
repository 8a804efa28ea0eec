package kitemux.members;

/**
 * A server as a source of membership tells it.
 *
 * @param name which it keeps over restarts
 * @param address IPv4 address and port
 * @param rack group that drops keyed repeats
 * @param draining whether it is to get nothing new
 */
public record Member(String name, String address, int rack, boolean draining) {}
