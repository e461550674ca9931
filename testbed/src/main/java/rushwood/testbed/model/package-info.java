/**
 * Models of hosts and clients without I/O, clocks or threads. Callers pass the time, so that
 * experiments on sockets and in virtual time share the same models.
 */
@NullMarked
package rushwood.testbed.model;

import org.jspecify.annotations.NullMarked;
