/**
 * Keeps the router's endpoint list current: when to poll the discovery agent or to watch its
 * changes, the HTTP client that does so, and the parser of the lists it sends.
 *
 * <p>{@link rushwood.discovery.EndpointRefreshPolicy} and {@link rushwood.discovery.PollSchedule}
 * decide and do no I/O: time and randomness are passed in. {@link
 * rushwood.discovery.DiscoveryClient} holds the sockets. Bytes go through {@code
 * EndpointListTokenizer} (where a list and its entries end), {@code EndpointEntryDecoder} (one
 * entry) and {@link rushwood.discovery.EndpointListParser} (the whole). All of it runs on the
 * router's event loop and needs no locks. Design and sources: {@code docs/design-discovery.md}.
 */
package rushwood.discovery;
