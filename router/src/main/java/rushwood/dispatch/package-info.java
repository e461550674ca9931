/**
 * What a running router keeps: open accesses and their shots, connections per host, counters, due
 * times.
 */
package rushwood.dispatch;
