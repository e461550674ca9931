/**
 * Stand-ins on loopback: hosts that speak PostgreSQL's protocol 3, the discovery agent, and the
 * router as a process. Hosts and agents run on the event loop that they are given.
 */
@NullMarked
package rushwood.testbed.standin;

import org.jspecify.annotations.NullMarked;
