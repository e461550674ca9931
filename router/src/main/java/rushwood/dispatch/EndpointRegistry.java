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
 * Holds the current endpoint list and applies its changes, in this order: the connection pool gets
 * the addresses; the routing policy is notified, and from then on chooses no draining or removed
 * host; last, the pool withholds unwritten exchanges with these hosts.
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
   * @param isRemovalBinding whether a removed host must not be used any more; if false, it is kept
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

  /** Returns whether a host of the given group has ever been listed. */
  boolean hasGroup(GroupId group) {
    return groups.contains(group);
  }

  /** Applies a complete list: known hosts that it does not contain are removed. */
  void replaceAll(List<EndpointAddress> listed, List<PartialEndpoint> partials, boolean fromCache) {
    List<EndpointAddress> merged = mergePartials(listed, partials);
    List<HostId> missingHosts = hostsMissingFrom(merged);
    register(merged);
    events.deliver(policy -> policy.endpointsReplaced(clock.now(), endpointsOf(merged), fromCache));
    releaseDrainingAndRemoved(merged);
    missingHosts.forEach(this::remove);
  }

  /** Applies changes to the list. The removal of an unknown host is ignored. */
  void update(List<EndpointAddress> updates, List<PartialEndpoint> partials) {
    List<EndpointAddress> applicable = new ArrayList<>(updates);
    applicable.removeIf(entry -> isRemoved(entry) && !endpoints.containsKey(entry.endpoint().id()));
    List<EndpointAddress> merged = mergePartials(applicable, partials);
    register(merged);
    events.deliver(policy -> policy.endpointsUpdated(clock.now(), endpointsOf(merged)));
    releaseDrainingAndRemoved(merged);
  }

  /** Treats all endpoints as draining until they are listed as ready. */
  void suspendAll() {
    List<EndpointAddress> suspended =
        endpoints.values().stream().map(entry -> entry.withState(Endpoint.State.DRAINING)).toList();
    update(suspended, List.of());
  }

  private static List<Endpoint> endpointsOf(List<EndpointAddress> entries) {
    return entries.stream().map(EndpointAddress::endpoint).toList();
  }

  /**
   * Returns the given entries, followed by the entries of known hosts with the partial entries
   * applied to them. A known host without a readable state is returned unchanged; partial entries
   * for unknown hosts are dropped.
   */
  private List<EndpointAddress> mergePartials(
      List<EndpointAddress> entries, List<PartialEndpoint> partials) {
    List<EndpointAddress> merged = new ArrayList<>(entries);
    merged.addAll(resolvePartials(partials));
    return merged;
  }

  private List<EndpointAddress> resolvePartials(List<PartialEndpoint> partials) {
    List<EndpointAddress> resolved = new ArrayList<>();
    for (PartialEndpoint partial : partials) {
      EndpointAddress known = endpoints.get(partial.id());
      if (known != null) {
        resolved.add(partial.applyTo(known));
      }
    }
    return resolved;
  }

  /** Returns the known hosts that a complete list does not contain. */
  private List<HostId> hostsMissingFrom(List<EndpointAddress> listed) {
    Set<HostId> listedHosts = new HashSet<>();
    listed.forEach(entry -> listedHosts.add(entry.endpoint().id()));
    return endpoints.keySet().stream().filter(host -> !listedHosts.contains(host)).toList();
  }

  /** Adds or replaces endpoints, also in the connection pool. */
  private void register(List<EndpointAddress> entries) {
    for (EndpointAddress entry : entries) {
      Endpoint endpoint = entry.endpoint();
      endpoints.put(endpoint.id(), entry);
      groups.add(endpoint.group());
      boolean ready = endpoint.state() == Endpoint.State.READY;
      pool.updateEndpoint(endpoint.id(), entry.address(), ready);
    }
  }

  /** Stops using those of the given endpoints that are draining or removed. */
  private void releaseDrainingAndRemoved(List<EndpointAddress> entries) {
    for (EndpointAddress entry : entries) {
      HostId host = entry.endpoint().id();
      if (entry.endpoint().state() == Endpoint.State.DRAINING) {
        pool.drain(host);
      } else if (isRemoved(entry)) {
        remove(host);
      }
    }
  }

  /** Removes a host if removal is binding. The same host may be listed again later. */
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
