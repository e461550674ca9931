/**
 * Models of hosts and clients without I/O: time is passed in, so that sockets and virtual time use
 * the same ones.
 */
package rushwood.testbed.model;
