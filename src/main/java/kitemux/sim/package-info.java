/** What all virtual worlds share: their time. */
package kitemux.sim;
