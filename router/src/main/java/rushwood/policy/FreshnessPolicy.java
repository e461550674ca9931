package rushwood.policy;

import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.RequestClass;
import rushwood.api.RequestClass.Consistency;
import rushwood.api.RoutingSettings;
import rushwood.api.RoutingSettings.LaggingReadBehavior;

/**
 * Decides how far a replica must have applied the log to answer a read, and records how far it has.
 * Positions are clock times in nanoseconds.
 */
final class FreshnessPolicy {
  /**
   * The number of sessions whose last write is remembered, which takes a few megabytes. The writes
   * of sessions that were forgotten have reached the replicas by then.
   */
  private static final int MAX_SESSIONS = 50_000;

  /** The staleness bound if no request class has one. */
  private static final long DEFAULT_STALENESS_NANOS = 5 * DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;

  /** Clients send the time since their last write in whole milliseconds. */
  private static final long LAST_WRITE_RESOLUTION_NANOS = 1_000_000L;

  /** The write time limit of an attempt whose data does not become too old. */
  private static final long NO_LIMIT = Long.MAX_VALUE;

  private final boolean tracksSessionWrites;
  private final boolean hostsServeStaleData;
  private final long minStalenessBoundNanos;
  private final SessionWrites sessionWrites = new SessionWrites(MAX_SESSIONS);

  FreshnessPolicy(RoutingSettings settings) {
    tracksSessionWrites = settings.tracksSessionWrites();
    hostsServeStaleData = settings.laggingReadBehavior() == LaggingReadBehavior.SERVES;
    minStalenessBoundNanos =
        settings.requestClasses().stream()
            .filter(requestClass -> requestClass.consistency() == Consistency.BOUNDED_STALENESS)
            .mapToLong(RequestClass::maxStalenessNanos)
            .min()
            .orElse(DEFAULT_STALENESS_NANOS);
  }

  /** Returns the smallest staleness bound of all request classes, in nanoseconds. */
  long minStalenessBoundNanos() {
    return minStalenessBoundNanos;
  }

  /**
   * Sets the position that a replica must have applied to answer the request now, according to the
   * consistency of the request class:
   *
   * <ul>
   *   <li>eventual: any position;
   *   <li>strong: the arrival time of the request;
   *   <li>bounded staleness: the current time less the bound of the class;
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

  /**
   * Returns until when the request may be written to the host, as a clock time: a read with a
   * staleness bound, to a replica that does not check the age of its data, only until that data, as
   * far as it is known, reaches the bound. The connection may take long to open.
   */
  long writeDeadline(PendingRequest pending, HostState host) {
    boolean ages =
        hostsServeStaleData && !host.isPrimary() && pending.requires(Consistency.BOUNDED_STALENESS);
    return ages ? host.replication.position() + pending.requestClass.maxStalenessNanos() : NO_LIMIT;
  }

  /**
   * Returns the position of the session's last write as this router recorded it or, if this router
   * does not record writes, as the client sent it.
   */
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
   * Records what a result says about positions: a successful write gives the commit position of its
   * session, any other result the position of its host. Also records that a lagging replica refused
   * a read.
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
