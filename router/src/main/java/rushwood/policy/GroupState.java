package rushwood.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * What a router remembers of a group: members in id order, the last known primary, the parked
 * lines.
 */
final class GroupState {
  final List<HostState> members = new ArrayList<>();
  final List<PendingRequest> firstAttempts = new ArrayList<>();
  final List<PendingRequest> retries = new ArrayList<>();
  HostState primary;
  PendingRequest primaryDiscovery;

  void add(HostState host) {
    if (host.group != this) {
      host.leaveGroup();
      host.group = this;
      members.add(host);
      members.sort((a, b) -> a.id.value().compareTo(b.id.value()));
    }
  }

  void remove(HostState host) {
    members.remove(host);
    clearPrimary(host);
  }

  boolean hasNoHealthyMember() {
    for (HostState host : members) {
      if (host.health == HostState.Health.HEALTHY) {
        return false;
      }
    }
    return true;
  }

  void clearPrimary(HostState host) {
    if (primary == host) {
      primary = null;
    }
  }

  /** The write that asks who is primary has its answer, or is over. */
  void endPrimaryDiscovery(PendingRequest pending) {
    if (primaryDiscovery == pending) {
      primaryDiscovery = null;
    }
  }

  /** Draws one by weight and takes it out. */
  static HostState drawByWeight(List<HostState> candidates, RandomGenerator random) {
    double point = 0;
    for (HostState host : candidates) {
      point += host.endpoint.weight();
    }
    point *= random.nextDouble();
    int index = 0;
    while (index < candidates.size() - 1 && point >= candidates.get(index).endpoint.weight()) {
      point -= candidates.get(index++).endpoint.weight();
    }
    return candidates.remove(index);
  }

  List<HostState> replicas() {
    List<HostState> replicas = new ArrayList<>(members);
    replicas.remove(primary);
    return replicas;
  }
}
