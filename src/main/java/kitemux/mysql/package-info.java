/**
 * The MySQL client/server protocol as its public documentation specifies it ("MySQL Source Code Documentation",
 * "Client/Server Protocol"): packets, handshakes, password digests and the classification of statements by
 * their text.
 */
package kitemux.mysql;
