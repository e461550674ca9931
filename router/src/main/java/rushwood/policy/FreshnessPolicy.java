package rushwood.policy;

import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.RequestClass;
import rushwood.api.RequestClass.Consistency;
import rushwood.api.RoutingSettings;

/**
 * Decides how far a replica must have applied the log for a read, and learns how far it has.
 * Positions are clock times in nanoseconds.
 */
final class FreshnessPolicy {
  /**
   * Sessions whose last write is remembered. They take a few megabytes; the writes of those that
   * were forgotten have reached the replicas.
   */
  private static final int MAX_SESSIONS = 50_000;

  /** The staleness bound of deployments where no request class has one. */
  private static final long DEFAULT_STALENESS_NANOS = 5 * DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;

  /** Clients send the time since their last write in whole milliseconds. */
  private static final long LAST_WRITE_RESOLUTION_NANOS = 1_000_000L;

  private final boolean tracksSessionWrites;
  private final long minStalenessBoundNanos;
  private final SessionWrites sessionWrites = new SessionWrites(MAX_SESSIONS);

  FreshnessPolicy(RoutingSettings settings) {
    tracksSessionWrites = settings.tracksSessionWrites();
    minStalenessBoundNanos =
        settings.requestClasses().stream()
            .filter(requestClass -> requestClass.consistency() == Consistency.BOUNDED_STALENESS)
            .mapToLong(RequestClass::maxStalenessNanos)
            .min()
            .orElse(DEFAULT_STALENESS_NANOS);
  }

  /** The least staleness that any request class allows, in nanoseconds. */
  long minStalenessBoundNanos() {
    return minStalenessBoundNanos;
  }

  /**
   * Sets the position that a replica must have applied to answer the request now:
   *
   * <ul>
   *   <li>eventual: any;
   *   <li>strong: the arrival of the request;
   *   <li>bounded staleness: the present time less the bound of the class;
   *   <li>read your writes: the last write of the session.
   * </ul>
   */
  void updateRequiredPosition(PendingRequest pending, long now) {
    pending.requirePosition(
        switch (pending.requestClass.consistency()) {
          case EVENTUAL -> PendingRequest.ANY_POSITION;
          case STRONG -> pending.arrivedAt;
          case BOUNDED_STALENESS -> now - pending.requestClass.maxStalenessNanos();
          case READ_YOUR_WRITES -> lastWrite(pending);
        });
  }

  /** The position of the session's last write, from this router's record or else the client's. */
  private long lastWrite(PendingRequest pending) {
    if (tracksSessionWrites) {
      return sessionWrites.lastCommit(pending.request.session());
    }
    if (!pending.request.hasLastWrite()) {
      return PendingRequest.ANY_POSITION;
    }
    return pending.arrivedAt - pending.request.sinceLastWriteNanos() + LAST_WRITE_RESOLUTION_NANOS;
  }

  /**
   * Learns from a committed write the position of its session, and from any other result the
   * position of its host.
   */
  void attemptFinished(Attempt attempt, AttemptResult result, long now) {
    PendingRequest pending = attempt.pending;
    if (pending.isWrite() && result.outcome() == AttemptOutcome.SUCCESS) {
      if (pending.request.session() != null && tracksSessionWrites) {
        long commit = result.hasPosition() ? result.position() : now;
        sessionWrites.recordCommit(pending.request.session(), commit);
      }
    } else if (result.hasPosition()) {
      attempt.host.replication.recordPosition(result.position(), now);
    }
    if (!pending.isWrite() && result.outcome() == AttemptOutcome.REPLICA_LAGGING) {
      attempt.host.replication.readRefused(now);
    }
  }
}
