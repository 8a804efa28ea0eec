/**
 * Connects the state machines of {@link kitemux.rollout} to sockets and storage: calls, watches and records of a
 * keeper, and the watch of a node. This package makes no protocol decisions. It passes each event with the current
 * time to the state machine and executes the resulting effects in order on one event loop. Only the records are
 * written on another thread.
 */
package kitemux.keeper;
