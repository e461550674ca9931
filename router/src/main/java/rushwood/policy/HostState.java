package rushwood.policy;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import rushwood.api.Endpoint;
import rushwood.api.HostId;

/** What a router knows of a host. */
final class HostState {
  final HostId id;
  final HostHealth health = new HostHealth();
  final ReplicationState replication = new ReplicationState();
  final SlowStartState slowStart = new SlowStartState();
  final ConcurrencyState concurrency;
  final InFlightAttempts inFlight = new InFlightAttempts();

  /** The decision to send a request here: one object, so that no request allocates its own. */
  final Decision.Send sendDecision = new Decision.Send(this);

  private Endpoint endpoint;
  private @Nullable GroupState group;

  /** Creates the state of a newly listed host, which serves no group yet. */
  HostState(Endpoint endpoint, double initialLimit) {
    this.id = endpoint.id();
    this.endpoint = endpoint;
    concurrency = new ConcurrencyState(initialLimit);
  }

  /** The host as it was last listed. */
  Endpoint endpoint() {
    return endpoint;
  }

  /** Discovery lists the host, with the same id. */
  void endpointListed(Endpoint newEndpoint) {
    endpoint = newEndpoint;
  }

  /** Whether it serves a group: it is listed as ready. */
  boolean hasGroup() {
    return group != null;
  }

  /**
   * The group that it serves.
   *
   * @throws NullPointerException if it serves none, since it is draining or removed
   */
  GroupState group() {
    return Objects.requireNonNull(group);
  }

  boolean isMemberOf(GroupState other) {
    return group == other;
  }

  /** The host serves that group from now on; {@link GroupState#add} calls this. */
  void joinGroup(GroupState newGroup) {
    leaveGroup();
    group = newGroup;
  }

  /** The host is draining or removed, or moves to another group. */
  void leaveGroup() {
    if (group != null) {
      group.remove(this);
      group = null;
    }
  }

  /** Whether it is the known primary of the group that it serves. */
  boolean isPrimary() {
    return group != null && group.isPrimary(this);
  }

  /** Whether the host is up although that attempt failed: the connection was at fault. */
  boolean hasAnsweredSince(Attempt attempt) {
    return health.lastAnswerAt() > attempt.sentAt;
  }

  /**
   * Its process has started anew: what was learned of the old one's capacity and health is void.
   */
  void processRestarted(long startedAt) {
    slowStart.processStarted(startedAt);
    concurrency.reset();
    health.restore();
  }

  /** Attempts in flight that are not presumed lost. */
  int occupiedSlots() {
    return inFlight.occupiedSlots();
  }

  /** Occupied slots for its weight. */
  double load() {
    return occupiedSlots() / endpoint.weight();
  }
}
