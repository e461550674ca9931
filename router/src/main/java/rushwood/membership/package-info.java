/**
 * Membership of the routers of one deployment, and the reports of database hosts that routers
 * exchange.
 *
 * <p>The protocol is SWIM (Das, Gupta, Motivala, DSN 2002) with suspicion and incarnations, and
 * Lifeguard's local health and suspicion timeouts (Dadgar, Phillips, Currey, 2018). {@link
 * rushwood.membership.Membership} is the entry point; its parts are the member table, the prober,
 * the suspicion timers and the dissemination of updates. {@link rushwood.membership.DatagramCodec}
 * encodes and decodes datagrams. {@link rushwood.membership.GossipReports} collects the reports of
 * hosts. No program uses the package yet.
 *
 * <p>The package does no I/O: the caller passes in times in nanoseconds and a random seed, and
 * sends the messages that the methods return. No class is thread-safe; one thread owns a {@code
 * Membership} and its parts. Design options and measurements: {@code docs/design-membership.md}.
 */
@NullMarked
package rushwood.membership;

import org.jspecify.annotations.NullMarked;
