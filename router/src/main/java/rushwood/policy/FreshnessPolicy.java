package rushwood.policy;

import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.RequestClass.Consistency;
import rushwood.api.RoutingSettings;

/** Decides how far a replica must have applied the log for a read, and learns how far it has. */
final class FreshnessPolicy {
  private static final int MAX_SESSIONS = 50_000; // a few megabytes; replicas have older writes
  private static final long DEFAULT_STALENESS_NANOS = 5 * DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;
  private static final long ROUNDING_NANOS = 1_000_000L; // clients send whole milliseconds

  private final RoutingSettings settings;
  private final SessionWrites sessionWrites = new SessionWrites(MAX_SESSIONS);

  /** The least staleness that any request class allows, in nanoseconds. */
  final long minStalenessBoundNanos;

  FreshnessPolicy(RoutingSettings settings) {
    this.settings = settings;
    minStalenessBoundNanos =
        settings.requestClasses().stream()
            .filter(each -> each.consistency() == Consistency.BOUNDED_STALENESS)
            .mapToLong(each -> each.maxStalenessNanos())
            .min()
            .orElse(DEFAULT_STALENESS_NANOS);
  }

  void updateRequiredPosition(PendingRequest pending, long now) {
    pending.requirePosition(
        switch (pending.requestClass.consistency()) {
          case EVENTUAL -> HostState.NEVER;
          case STRONG -> pending.arrivedAt;
          case BOUNDED_STALENESS -> now - pending.requestClass.maxStalenessNanos();
          case READ_YOUR_WRITES -> lastWrite(pending);
        });
  }

  /** The position of the session's last write, from this router's record or else the client's. */
  private long lastWrite(PendingRequest pending) {
    if (settings.tracksSessionWrites()) {
      return sessionWrites.lastCommit(pending.request.session());
    }
    long committedAt = pending.arrivedAt - pending.request.sinceLastWriteNanos() + ROUNDING_NANOS;
    return pending.request.hasLastWrite() ? committedAt : HostState.NEVER;
  }

  void attemptFinished(Attempt attempt, AttemptResult result, long now) {
    PendingRequest pending = attempt.pending;
    if (pending.isWrite() && result.outcome() == AttemptOutcome.SUCCESS) {
      if (pending.request.session() != null && settings.tracksSessionWrites()) {
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
