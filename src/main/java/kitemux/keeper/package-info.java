/**
 * Carries {@link kitemux.rollout} over sockets and to a folder: a keeper's calls, watches and records, and a
 * node's watch. It decides nothing: an event is told to the machine with the time, and what it answers is
 * done in order, on one event loop. Only the folder is written off the loop.
 */
package kitemux.keeper;
