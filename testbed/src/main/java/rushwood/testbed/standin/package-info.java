/**
 * Stand-ins on the loopback interface for hosts and the discovery agent, which run on an event loop
 * of the caller, and the router as a process of its own.
 */
@NullMarked
package rushwood.testbed.standin;

import org.jspecify.annotations.NullMarked;
