package rushwood.policy;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;

/**
 * The hosts that a router knows, in the order in which they were first listed, and the groups in
 * order of id.
 */
final class HostTable {
  private final Map<HostId, HostState> hosts = new LinkedHashMap<>();
  private final Map<GroupId, GroupState> groups =
      new TreeMap<>(Comparator.comparing(GroupId::value));

  /**
   * Returns the state of a host that was listed and not forgotten since.
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

  /**
   * Returns the state of a listed host, creating it with the given concurrency limit if it is new.
   */
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

  /** Removes every host that the list does not contain from its group. */
  void removeUnlisted(List<Endpoint> endpoints) {
    Set<HostId> listed = new HashSet<>();
    endpoints.forEach(endpoint -> listed.add(endpoint.id()));
    for (HostState host : hosts.values()) {
      if (!listed.contains(host.id)) {
        host.leaveGroup();
      }
    }
  }

  /** Forgets hosts without a group once no attempt or health check is in flight there. */
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
