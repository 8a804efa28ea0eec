package kitemux.rollout;

/**
 * A change that was chosen.
 *
 * @param rev its number, from 1, without gaps
 * @param change what it changes
 */
public record Version(long rev, Change change) {}
