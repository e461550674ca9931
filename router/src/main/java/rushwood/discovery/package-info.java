/**
 * How the host list is followed: when it is asked for, and what of the news counts. No I/O: time is
 * passed in.
 */
package rushwood.discovery;
