/**
 * Keeps the router's endpoint list current: when to poll the discovery agent or to watch its
 * changes, the HTTP client that does so, and the parser of the lists it sends.
 *
 * <p>What is decided, without I/O: when to poll, {@link rushwood.discovery.PollSchedule}; when to
 * watch, {@link rushwood.discovery.EndpointRefreshPolicy}; what becomes of a list, {@link
 * rushwood.discovery.ListDecision}. {@link rushwood.discovery.DiscoveryClient} makes the requests,
 * with the sockets of {@link rushwood.discovery.DiscoveryConnector}. Bytes go through {@code
 * EndpointListTokenizer} (where a list and its entries end), {@code EndpointEntryDecoder} (one
 * entry) and {@link rushwood.discovery.EndpointListParser} (the whole). All of it runs on the
 * router's event loop and needs no locks. Design and sources: {@code docs/design-discovery.md}.
 */
@NullMarked
package rushwood.discovery;

import org.jspecify.annotations.NullMarked;
