/**
 * Keeps the router's endpoint list up to date by polling and watching the discovery agent.
 *
 * <p>Decisions are separate from I/O: {@link rushwood.discovery.PollSchedule} decides when to poll,
 * {@link rushwood.discovery.EndpointRefreshPolicy} when to watch, and {@link
 * rushwood.discovery.ListAcceptancePolicy} which lists to apply. {@link
 * rushwood.discovery.DiscoveryClient} makes the requests over the connections of {@link
 * rushwood.discovery.DiscoveryConnector}. {@link rushwood.discovery.EndpointListParser} parses the
 * responses: {@code EndpointListTokenizer} finds the boundaries of a list and its entries, and
 * {@code EndpointEntryDecoder} decodes one entry. Everything runs on the router's event loop
 * without locks. Design and sources: {@code docs/design-discovery.md}.
 */
@NullMarked
package rushwood.discovery;

import org.jspecify.annotations.NullMarked;
