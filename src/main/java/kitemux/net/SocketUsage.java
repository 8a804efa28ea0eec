package kitemux.net;

/**
 * What the system may hold for the sockets of a node.
 *
 * @param openCount number of open sockets of this process
 * @param openBytes what the system holds for the open sockets at most, in bytes
 * @param limitBytes what it holds at most with all descriptors in use, in both processes of an upgrade, in bytes
 */
public record SocketUsage(int openCount, long openBytes, long limitBytes) {}
