/**
 * Seeded soak test of process changes of a node on loopback (upgrades, restarts and kills), with a verifier of
 * the observations.
 */
package kitemux.soak;
