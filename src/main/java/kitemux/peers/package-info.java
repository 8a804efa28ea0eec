/**
 * Membership of a fleet and gossip between its nodes, after SWIM and Lifeguard. The package has no side
 * effects: events and the time are passed in and messages are handed out; it opens no socket, reads no clock
 * and starts no thread. All calls for one node are made on one thread.
 */
package kitemux.peers;
