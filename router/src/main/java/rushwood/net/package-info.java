/**
 * Sockets to clients and hosts: thin Netty handlers around the state machines of {@code
 * rushwood.protocol}, and the limits on what client connections may hold.
 *
 * <p>{@link rushwood.net.FrontendServer} accepts clients, each a {@link
 * rushwood.net.FrontendConnection}; {@link rushwood.net.BackendConnector} opens connections to
 * hosts. All of it runs on the one event loop of the router: nothing here is thread-safe, and
 * nothing blocks.
 */
package rushwood.net;
