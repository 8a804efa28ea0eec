package kitemux.rollout;

/**
 * A change that was chosen.
 *
 * @param rev number of the version, from 1, without gaps
 * @param change the change that this version applies
 */
public record Version(long rev, Change change) {}
