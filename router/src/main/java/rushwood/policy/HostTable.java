package rushwood.policy;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;

/**
 * The hosts that a router knows, in the order in which it heard of them, and their groups by id.
 */
final class HostTable {
  private final Map<HostId, HostState> hosts = new LinkedHashMap<>();
  private final Map<GroupId, GroupState> groups =
      new TreeMap<>(Comparator.comparing(GroupId::value));

  /**
   * The state of a host that was listed and not yet forgotten.
   *
   * @throws IllegalArgumentException if this router knows no such host
   */
  HostState host(HostId id) {
    HostState host = hosts.get(id);
    if (host == null) {
      throw new IllegalArgumentException("unknown host " + id);
    }
    return host;
  }

  /** The state of a listed host, created with that concurrency limit if the host is new. */
  HostState getOrAdd(Endpoint endpoint, double initialLimit) {
    return hosts.computeIfAbsent(endpoint.id(), id -> new HostState(endpoint, initialLimit));
  }

  GroupState group(GroupId id) {
    return groups.computeIfAbsent(id, newId -> new GroupState());
  }

  Collection<HostState> hosts() {
    return hosts.values();
  }

  Collection<GroupState> groups() {
    return groups.values();
  }

  /** Takes every host out of its group that the list does not name. */
  void removeUnlisted(List<Endpoint> endpoints) {
    List<HostId> listed = endpoints.stream().map(Endpoint::id).toList();
    for (HostState host : hosts.values()) {
      if (!listed.contains(host.id)) {
        host.leaveGroup();
      }
    }
  }

  /**
   * Forgets hosts that have left their group, once no attempt or health check is in flight there.
   */
  void forgetRemoved() {
    hosts
        .values()
        .removeIf(
            host ->
                !host.hasGroup()
                    && host.inFlight.isEmpty()
                    && !host.health.isHealthCheckInFlight());
  }
}
