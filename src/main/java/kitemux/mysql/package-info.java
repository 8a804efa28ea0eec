/**
 * The MySQL client/server protocol, as its public documentation has it ("MySQL Source Code
 * Documentation", "Client/Server Protocol"): packets, greetings, digests of passwords and
 * what can be said of a statement by its text.
 */
package kitemux.mysql;
