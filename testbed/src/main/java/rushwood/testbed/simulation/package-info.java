/**
 * Experiments in virtual time: the routing policy and overload control of any number of routers,
 * against models of hosts and clients. A run is deterministic and has no threads.
 */
@NullMarked
package rushwood.testbed.simulation;

import org.jspecify.annotations.NullMarked;
