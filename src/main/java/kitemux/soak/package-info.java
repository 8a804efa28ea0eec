/** A seeded soak of the lives of a node's processes on loopback: upgrades, restarts, kills, and their judge. */
package kitemux.soak;
