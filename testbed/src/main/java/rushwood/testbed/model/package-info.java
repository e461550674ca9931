/**
 * Models of hosts and clients without I/O, clock or threads. Time is passed in, so that experiments
 * on sockets and in virtual time use the same ones.
 */
@NullMarked
package rushwood.testbed.model;

import org.jspecify.annotations.NullMarked;
