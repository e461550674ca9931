package rushwood.policy;

import java.util.List;
import rushwood.api.Endpoint;

/**
 * Decides how an entry of the endpoint list affects its host. The first case that applies:
 *
 * <ol>
 *   <li>the host is listed as removed, and removal is not binding: no effect, because such a list
 *       does not prove which hosts are up; their health decides;
 *   <li>it is listed as draining or removed: it gets no new attempts from now on, not even during
 *       its grace period;
 *   <li>it is listed as ready: it serves its group. If its process has restarted, it is cold.
 * </ol>
 *
 * <p>If removal is binding, a complete list also removes the hosts that it does not contain.
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

  /**
   * Handles a complete endpoint list. The caller then passes each entry to {@link #endpointListed}.
   */
  void listReplaced(List<Endpoint> endpoints) {
    if (isRemovalBinding) {
      hosts.removeUnlisted(endpoints);
    }
  }

  /** Handles a new or changed entry of the list. */
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
