package rushwood.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;

/**
 * The endpoint list in force. A change of it is applied in this order: the connection pool gets the
 * addresses, the routing policy is told and chooses no leaving host any more, and last the pool
 * withholds what was chosen for leaving hosts before and is not written yet.
 */
final class EndpointRegistry {
  private final Map<HostId, EndpointAddress> endpoints = new LinkedHashMap<>();
  private final Set<GroupId> groups = new HashSet<>();
  private final EventLoopClock clock;
  private final PolicyEventQueue events;
  private final ConnectionPool pool;
  private final boolean isRemovalBinding;

  /**
   * Creates an empty registry.
   *
   * @param isRemovalBinding whether a removed host must not be used; else it is kept
   */
  EndpointRegistry(
      EventLoopClock clock,
      PolicyEventQueue events,
      ConnectionPool pool,
      boolean isRemovalBinding) {
    this.clock = clock;
    this.events = events;
    this.pool = pool;
    this.isRemovalBinding = isRemovalBinding;
  }

  boolean isEmpty() {
    return endpoints.isEmpty();
  }

  /** Whether a host of that group has ever been listed. */
  boolean hasGroup(GroupId group) {
    return groups.contains(group);
  }

  /** Takes a whole list; a known host that it does not name has been removed. */
  void replaceAll(List<EndpointAddress> listed, List<PartialEndpoint> partials, boolean fromCache) {
    List<EndpointAddress> merged = merge(listed, partials);
    List<HostId> missingHosts = hostsMissingFrom(merged);
    register(merged);
    events.deliver(policy -> policy.endpointsReplaced(clock.now(), endpointsOf(merged), fromCache));
    releaseLeaving(merged);
    missingHosts.forEach(this::remove);
  }

  /** Takes changes to the list; removals of hosts that are not known are left out. */
  void update(List<EndpointAddress> updates, List<PartialEndpoint> partials) {
    List<EndpointAddress> known = new ArrayList<>(updates);
    known.removeIf(entry -> isRemoved(entry) && !endpoints.containsKey(entry.endpoint().id()));
    List<EndpointAddress> merged = merge(known, partials);
    register(merged);
    events.deliver(policy -> policy.endpointsUpdated(clock.now(), endpointsOf(merged)));
    releaseLeaving(merged);
  }

  private static List<Endpoint> endpointsOf(List<EndpointAddress> entries) {
    return entries.stream().map(EndpointAddress::endpoint).toList();
  }

  /**
   * The entries, with the known hosts of the partial ones added. A known host whose state cannot be
   * read stays as it is.
   */
  private List<EndpointAddress> merge(
      List<EndpointAddress> entries, List<PartialEndpoint> partials) {
    List<EndpointAddress> merged = new ArrayList<>(entries);
    merged.addAll(complete(partials));
    return merged;
  }

  private List<EndpointAddress> complete(List<PartialEndpoint> partials) {
    List<EndpointAddress> completed = new ArrayList<>();
    for (PartialEndpoint partial : partials) {
      EndpointAddress known = endpoints.get(partial.id());
      if (known != null) {
        completed.add(partial.update(known));
      }
    }
    return completed;
  }

  /** The known hosts that a whole list does not name. */
  private List<HostId> hostsMissingFrom(List<EndpointAddress> listed) {
    Set<HostId> listedHosts = new HashSet<>();
    listed.forEach(entry -> listedHosts.add(entry.endpoint().id()));
    return endpoints.keySet().stream().filter(host -> !listedHosts.contains(host)).toList();
  }

  /** Adds endpoints or replaces what is known of them. */
  private void register(List<EndpointAddress> entries) {
    for (EndpointAddress entry : entries) {
      Endpoint endpoint = entry.endpoint();
      endpoints.put(endpoint.id(), entry);
      groups.add(endpoint.group());
      boolean ready = endpoint.state() == Endpoint.State.READY;
      pool.updateEndpoint(endpoint.id(), entry.address(), ready);
    }
  }

  /** Stops the use of the endpoints among these that drain or were removed. */
  private void releaseLeaving(List<EndpointAddress> entries) {
    for (EndpointAddress entry : entries) {
      HostId host = entry.endpoint().id();
      if (entry.endpoint().state() == Endpoint.State.DRAINING) {
        pool.drain(host);
      } else if (isRemoved(entry)) {
        remove(host);
      }
    }
  }

  /** Forgets a removed host, if removal is binding; it may be listed again under its id. */
  private void remove(HostId host) {
    if (isRemovalBinding) {
      endpoints.remove(host);
      pool.remove(host);
    }
  }

  private static boolean isRemoved(EndpointAddress entry) {
    return entry.endpoint().state() == Endpoint.State.REMOVED;
  }
}
