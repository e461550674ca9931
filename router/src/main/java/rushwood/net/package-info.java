/**
 * Sockets to clients and hosts: thin Netty handlers around the state machines of {@code
 * rushwood.protocol}, and the limits on what client connections may hold.
 *
 * <p>{@link rushwood.net.FrontendServer} accepts clients, each a {@link
 * rushwood.net.FrontendConnection}, and {@link rushwood.net.ConnectionLimiter} closes some of them
 * for others; {@link rushwood.net.BackendConnector} opens connections to hosts, each a {@link
 * rushwood.net.BackendChannel}. All of it runs on the one event loop of the router: nothing here is
 * thread-safe, and nothing blocks.
 */
@NullMarked
package rushwood.net;

import org.jspecify.annotations.NullMarked;
