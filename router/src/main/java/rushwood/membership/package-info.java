/**
 * Membership of the routers of one deployment, and what they tell each other of database hosts.
 *
 * <p>The protocol is SWIM (Das, Gupta, Motivala, DSN 2002) with suspicion and incarnations, and
 * Lifeguard's local health and suspicion timeouts (Dadgar, Phillips, Currey, 2018). {@link
 * rushwood.membership.Membership} is the entry; its parts are the member table, the prober, the
 * suspicion timers and the dissemination of updates. {@link rushwood.membership.DatagramCodec}
 * encodes and decodes datagrams, {@link rushwood.membership.GossipReports} keeps what peers
 * reported of hosts. No program uses the package yet.
 *
 * <p>No I/O: times are nanoseconds passed in, randomness comes from a seed, and what is to be sent
 * is returned. No class is thread-safe; one thread owns a {@code Membership} and its parts. Options
 * and measurements: {@code docs/design-membership.md}.
 */
@NullMarked
package rushwood.membership;

import org.jspecify.annotations.NullMarked;
