package rushwood.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/** What a router knows of a group: its members in order of id, its primary, its wait queues. */
final class GroupState {
  private static final Comparator<HostState> BY_ID = Comparator.comparing(host -> host.id.value());

  /** Requests that wait for their first attempt. */
  final WaitQueue firstAttempts = new WaitQueue();

  /** Requests that wait for a retry. */
  final WaitQueue retries = new WaitQueue();

  private final List<HostState> members = new ArrayList<>();
  private @Nullable HostState primary;
  private @Nullable PendingRequest primaryDiscovery;

  /** The members in order of id; not to be changed. */
  List<HostState> members() {
    return members;
  }

  /** Adds a host, which leaves the group that it was in; has no effect on a member. */
  void add(HostState host) {
    if (!host.isMemberOf(this)) {
      host.joinGroup(this);
      members.add(host);
      members.sort(BY_ID);
    }
  }

  /** Removes a host; {@link HostState#leaveGroup} calls this. */
  void remove(HostState host) {
    members.remove(host);
    clearPrimary(host);
  }

  boolean hasNoHealthyMember() {
    for (HostState host : members) {
      if (host.health.isHealthy()) {
        return false;
      }
    }
    return true;
  }

  /** All members but the primary, as a new list. */
  List<HostState> replicas() {
    List<HostState> replicas = new ArrayList<>(members);
    replicas.remove(primary);
    return replicas;
  }

  /** The primary, if it is known. */
  @Nullable HostState primary() {
    return primary;
  }

  boolean hasPrimary() {
    return primary != null;
  }

  boolean isPrimary(HostState host) {
    return primary == host;
  }

  /** The {@link PrimaryTracker} takes that member for the primary. */
  void setPrimary(HostState host) {
    primary = host;
  }

  /** From now on the primary is unknown, if it was that host. */
  void clearPrimary(HostState host) {
    if (primary == host) {
      primary = null;
    }
  }

  /** Whether requests wait and no primary is known. */
  boolean needsPrimary() {
    return !hasPrimary() && !firstAttempts.isEmpty();
  }

  /** That write goes to a member whose role is unknown, to find the primary. */
  void startPrimaryDiscovery(PendingRequest pending) {
    primaryDiscovery = pending;
  }

  boolean isDiscoveringPrimary() {
    return primaryDiscovery != null;
  }

  /** Called when the request has its result or is finished: the next write may look for it. */
  void endPrimaryDiscovery(PendingRequest pending) {
    if (primaryDiscovery == pending) {
      primaryDiscovery = null;
    }
  }

  /** A copy of all waiting requests, first attempts before retries. */
  List<PendingRequest> waitingRequests() {
    return Stream.concat(firstAttempts.requests().stream(), retries.requests().stream()).toList();
  }
}
