package rushwood.policy;

import java.util.List;
import rushwood.api.Endpoint;

/**
 * Decides what the endpoint list means for a host. The first case that applies:
 *
 * <ol>
 *   <li>it is listed as removed, and removal is not binding: nothing, since such a list does not
 *       prove which hosts are up; their health decides;
 *   <li>it is listed as draining or removed: it gets no new attempts from now on, even in its grace
 *       period;
 *   <li>it is listed as ready: it serves its group. If its process has started anew, it is cold.
 * </ol>
 *
 * <p>Where removal is binding, a host that a complete list does not name is removed.
 */
final class EndpointPolicy {
  private final boolean isRemovalBinding;
  private final HostTable hosts;
  private final ConcurrencyLimiter limiter;
  private final PrimaryTracker primaries;

  EndpointPolicy(
      boolean isRemovalBinding,
      HostTable hosts,
      ConcurrencyLimiter limiter,
      PrimaryTracker primaries) {
    this.isRemovalBinding = isRemovalBinding;
    this.hosts = hosts;
    this.limiter = limiter;
    this.primaries = primaries;
  }

  /** A complete list has come; its entries follow with {@link #endpointListed}. */
  void listReplaced(List<Endpoint> endpoints) {
    if (isRemovalBinding) {
      hosts.removeUnlisted(endpoints);
    }
  }

  /** An entry of the list is new or has changed. */
  void endpointListed(Endpoint endpoint) {
    HostState host = hosts.getOrAdd(endpoint, limiter.initialLimit());
    if (endpoint.state() == Endpoint.State.REMOVED && !isRemovalBinding) {
      return;
    }
    host.endpointListed(endpoint);
    if (endpoint.state() != Endpoint.State.READY) {
      host.leaveGroup();
      return;
    }
    hosts.group(endpoint.group()).add(host);
    if (endpoint.startedAt() > host.slowStart.startedAt()) {
      host.processRestarted(endpoint.startedAt());
    }
    primaries.endpointListed(host);
  }
}
