/**
 * Start and end of a router process: warm-up, wiring of the parts on one event loop, waiting for
 * the first endpoint list, reload of the configuration on SIGHUP, graceful shutdown on SIGTERM.
 *
 * <p>{@link rushwood.server.RouterServer} is the entry point. Everything that it wires runs on a
 * single event loop; the few methods that other threads call say so.
 */
@NullMarked
package rushwood.server;

import org.jspecify.annotations.NullMarked;
