/**
 * Connections to clients and hosts: thin Netty handlers around the state machines of {@code
 * rushwood.protocol}, and the limits on the number, memory and time of client connections.
 *
 * <p>{@link rushwood.net.FrontendServer} accepts client connections, each a {@link
 * rushwood.net.FrontendConnection}, and {@link rushwood.net.ConnectionLimiter} closes some of them
 * when there are too many. {@link rushwood.net.BackendConnector} opens connections to hosts, each a
 * {@link rushwood.net.BackendChannel}. Everything runs on the single event loop of the router and
 * is not thread-safe; nothing blocks except {@link rushwood.net.ClientListener#bind}.
 */
@NullMarked
package rushwood.net;

import org.jspecify.annotations.NullMarked;
