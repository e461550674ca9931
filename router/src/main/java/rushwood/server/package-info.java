/** Start and stop: configuration, the event loop, readiness, SIGTERM. */
package rushwood.server;
