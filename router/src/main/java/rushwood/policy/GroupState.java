package rushwood.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/** The members of a group, its primary and its wait queues, as a router knows them. */
final class GroupState {
  private static final Comparator<HostState> BY_ID = Comparator.comparing(host -> host.id.value());

  /** Requests that wait for their first attempt. */
  final WaitQueue firstAttempts = new WaitQueue();

  /** Requests that wait for a retry. */
  final WaitQueue retries = new WaitQueue();

  private final List<HostState> members = new ArrayList<>();
  private @Nullable HostState primary;
  private @Nullable PendingRequest primarySearch;

  /** Returns the members in order of id. Callers must not modify the list. */
  List<HostState> members() {
    return members;
  }

  /** Adds a host and removes it from its previous group; has no effect on a member. */
  void add(HostState host) {
    if (!host.isMemberOf(this)) {
      host.joinGroup(this);
      int insertionPoint = -Collections.binarySearch(members, host, BY_ID) - 1;
      members.add(insertionPoint, host);
    }
  }

  /** Removes a host; called by {@link HostState#leaveGroup}. */
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

  /** Returns all members but the primary, as a new list. */
  List<HostState> replicas() {
    List<HostState> replicas = new ArrayList<>(members);
    replicas.remove(primary);
    return replicas;
  }

  /** Returns the primary, or null if it is unknown. */
  @Nullable HostState primary() {
    return primary;
  }

  boolean hasPrimary() {
    return primary != null;
  }

  boolean isPrimary(HostState host) {
    return primary == host;
  }

  /** Records the member that {@link PrimaryTracker} considers the primary. */
  void setPrimary(HostState host) {
    primary = host;
  }

  /** Makes the primary unknown if it is the given host. */
  void clearPrimary(HostState host) {
    if (primary == host) {
      primary = null;
    }
  }

  /** Returns whether requests wait for their first attempt while no primary is known. */
  boolean needsPrimary() {
    return !hasPrimary() && !firstAttempts.isEmpty();
  }

  /** Records that the given write is sent to a member of unknown role to find the primary. */
  void startPrimarySearch(PendingRequest pending) {
    primarySearch = pending;
  }

  boolean isSearchingForPrimary() {
    return primarySearch != null;
  }

  /**
   * Allows the next write to search for the primary, if the given request was doing so. Called when
   * the request has a result or is finished.
   */
  void endPrimarySearch(PendingRequest pending) {
    if (primarySearch == pending) {
      primarySearch = null;
    }
  }

  /** Returns a copy of all waiting requests, first attempts before retries. */
  List<PendingRequest> waitingRequests() {
    return Stream.concat(firstAttempts.requests().stream(), retries.requests().stream()).toList();
  }
}
