/**
 * Lifecycle of a router process: warm-up, creation of the components on one event loop, waiting for
 * the first endpoint list, reload of the configuration on SIGHUP, graceful shutdown on SIGTERM.
 *
 * <p>{@link rushwood.server.RouterServer} is the entry point. All components run on a single event
 * loop. Methods that are called by other threads say so in their documentation.
 */
@NullMarked
package rushwood.server;

import org.jspecify.annotations.NullMarked;
