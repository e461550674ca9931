/**
 * Experiments in virtual time: the routing policies and overload control of any number of routers
 * run against models of hosts and clients. A run is single-threaded and deterministic.
 */
@NullMarked
package rushwood.testbed.simulation;

import org.jspecify.annotations.NullMarked;
