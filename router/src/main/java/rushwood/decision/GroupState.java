package rushwood.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * What a router remembers of a group: members in id order, the last known primary, the parked
 * lines.
 */
final class GroupState {
  final List<HostState> members = new ArrayList<>();
  final List<Held> first = new ArrayList<>();
  final List<Held> further = new ArrayList<>();
  HostState primary;
  Held scout;

  void join(HostState host) {
    if (host.group != this) {
      host.leave();
      host.group = this;
      members.add(host);
      members.sort((a, b) -> a.id.value().compareTo(b.id.value()));
    }
  }

  void drop(HostState host) {
    members.remove(host);
    unseat(host);
  }

  boolean noneWell() {
    for (HostState host : members) {
      if (host.health == HostState.Health.WELL) {
        return false;
      }
    }
    return true;
  }

  void unseat(HostState host) {
    if (primary == host) {
      primary = null;
    }
  }

  /** The write that asks who is primary has its answer, or is over. */
  void scoutBack(Held held) {
    if (scout == held) {
      scout = null;
    }
  }

  /** Draws one by weight and takes it out. */
  static HostState draw(List<HostState> from, RandomGenerator chance) {
    double point = 0;
    for (HostState host : from) {
      point += host.listed.weight();
    }
    point *= chance.nextDouble();
    int at = 0;
    while (at < from.size() - 1 && point >= from.get(at).listed.weight()) {
      point -= from.get(at++).listed.weight();
    }
    return from.remove(at);
  }

  List<HostState> replicas() {
    List<HostState> replicas = new ArrayList<>(members);
    replicas.remove(primary);
    return replicas;
  }
}
