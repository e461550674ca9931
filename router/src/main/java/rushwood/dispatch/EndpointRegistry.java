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

/** The endpoint list in force; tells the connection pool which hosts there are and which leave. */
final class EndpointRegistry {
  private final Map<HostId, EndpointAddress> endpoints = new LinkedHashMap<>();
  private final Set<GroupId> groups = new HashSet<>();
  private final ConnectionPool pool;
  private final boolean isRemovalBinding;

  /**
   * Creates an empty registry.
   *
   * @param isRemovalBinding whether a removed host must not be used; else it is kept
   */
  EndpointRegistry(ConnectionPool pool, boolean isRemovalBinding) {
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

  /**
   * A whole list, with the known hosts of its partial entries added. A known host whose state
   * cannot be read stays as it is.
   */
  List<EndpointAddress> merge(List<EndpointAddress> listed, List<PartialEndpoint> partials) {
    List<EndpointAddress> merged = new ArrayList<>(listed);
    merged.addAll(complete(partials));
    return merged;
  }

  /** Like {@link #merge}, for changes: removals of hosts that are not known are left out. */
  List<EndpointAddress> mergeUpdates(
      List<EndpointAddress> updates, List<PartialEndpoint> partials) {
    List<EndpointAddress> merged = new ArrayList<>(updates);
    merged.removeIf(entry -> isRemoved(entry) && !endpoints.containsKey(entry.endpoint().id()));
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
  List<HostId> hostsMissingFrom(List<EndpointAddress> listed) {
    Set<HostId> listedHosts = new HashSet<>();
    listed.forEach(entry -> listedHosts.add(entry.endpoint().id()));
    return endpoints.keySet().stream().filter(host -> !listedHosts.contains(host)).toList();
  }

  /** Adds endpoints or replaces what is known of them. */
  void register(List<EndpointAddress> entries) {
    for (EndpointAddress entry : entries) {
      Endpoint endpoint = entry.endpoint();
      endpoints.put(endpoint.id(), entry);
      groups.add(endpoint.group());
      boolean ready = endpoint.state() == Endpoint.State.READY;
      pool.updateEndpoint(endpoint.id(), entry.address(), ready);
    }
  }

  /**
   * Stops the use of the endpoints among these that drain or were removed. To be called once the
   * routing policy knows, as what it chose before is withheld and chosen anew.
   */
  void releaseLeaving(List<EndpointAddress> entries) {
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
  void remove(HostId host) {
    if (isRemovalBinding) {
      endpoints.remove(host);
      pool.remove(host);
    }
  }

  private static boolean isRemoved(EndpointAddress entry) {
    return entry.endpoint().state() == Endpoint.State.REMOVED;
  }
}
