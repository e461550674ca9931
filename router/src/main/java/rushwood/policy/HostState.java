package rushwood.policy;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import rushwood.api.Endpoint;
import rushwood.api.HostId;

/** What a router knows about a host. */
final class HostState {
  final HostId id;
  final HostHealth health = new HostHealth();
  final ReplicationState replication = new ReplicationState();
  final SlowStartState slowStart = new SlowStartState();
  final ConcurrencyState concurrency;
  final InFlightAttempts inFlight = new InFlightAttempts();

  /**
   * The decision to send a request to this host, shared by all requests to avoid an allocation for
   * each.
   */
  final Decision.Send sendDecision = new Decision.Send(this);

  private Endpoint endpoint;
  private @Nullable GroupState group;

  /** Creates the state of a newly listed host, which serves no group yet. */
  HostState(Endpoint endpoint, double initialLimit) {
    this.id = endpoint.id();
    this.endpoint = endpoint;
    concurrency = new ConcurrencyState(initialLimit);
  }

  /** Returns the host as it was last listed. */
  Endpoint endpoint() {
    return endpoint;
  }

  /** Records the latest entry of the endpoint list for this host; the id is the same. */
  void endpointListed(Endpoint newEndpoint) {
    endpoint = newEndpoint;
  }

  /** Returns whether the host serves a group, that is, is listed as ready. */
  boolean hasGroup() {
    return group != null;
  }

  /**
   * Returns the group that the host serves.
   *
   * @throws NullPointerException if it serves none, because it is draining or removed
   */
  GroupState group() {
    return Objects.requireNonNull(group);
  }

  boolean isMemberOf(GroupState other) {
    return group == other;
  }

  /** Makes the host serve the given group; called by {@link GroupState#add}. */
  void joinGroup(GroupState newGroup) {
    leaveGroup();
    group = newGroup;
  }

  /** Removes the host from its group, because it is draining, removed or moved to another group. */
  void leaveGroup() {
    if (group != null) {
      group.remove(this);
      group = null;
    }
  }

  /** Returns whether the host is the known primary of its group. */
  boolean isPrimary() {
    return group != null && group.isPrimary(this);
  }

  /**
   * Returns whether the host has answered an attempt since the given one was sent. If so, the host
   * is up and a failure of that attempt was the fault of its connection.
   */
  boolean hasAnsweredSince(Attempt attempt) {
    return health.lastAnswerAt() > attempt.sentAt;
  }

  /**
   * Discards what was learned about capacity and health, because the process of the host has
   * restarted.
   */
  void processRestarted(long startedAt) {
    slowStart.processStarted(startedAt);
    concurrency.reset();
    health.restore();
  }

  /** Returns the number of attempts in flight that are not presumed lost. */
  int occupiedSlots() {
    return inFlight.occupiedSlots();
  }

  /** Returns the number of occupied slots divided by the weight of the host. */
  double load() {
    return occupiedSlots() / endpoint.weight();
  }
}
