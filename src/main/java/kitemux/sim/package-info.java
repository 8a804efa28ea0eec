/** Building blocks shared by all simulations: virtual time and the slow start rule. */
package kitemux.sim;
