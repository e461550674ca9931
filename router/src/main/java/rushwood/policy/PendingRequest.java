package rushwood.policy;

import java.util.ArrayList;
import java.util.List;
import rushwood.api.AttemptOutcome;
import rushwood.api.Request;
import rushwood.api.RequestClass;

/** An access that this router has taken, with its shots. */
final class PendingRequest {
  final Request request;
  final RequestClass requestClass;
  final GroupState group;
  final long arrivedAt;
  final long objectiveDeadline; // the end of the quoted time, or of this try if that is earlier
  final List<Attempt> attempts = new ArrayList<>();
  final List<HostState> avoidedHosts = new ArrayList<>();
  boolean finished;
  boolean queued;
  long requiredPosition;
  HostState selectedHost;

  PendingRequest(Request request, GroupState group, long arrivedAt) {
    this.request = request;
    this.requestClass = request.requestClass();
    this.group = group;
    this.arrivedAt = arrivedAt;
    objectiveDeadline =
        Math.min(arrivedAt + requestClass.latencyObjectiveNanos(), request.deadline());
  }

  double objectiveTime() {
    return objectiveDeadline - arrivedAt;
  }

  boolean isWrite() {
    return requestClass.isWrite();
  }

  boolean requires(RequestClass.Consistency need) {
    return requestClass.consistency() == need;
  }

  /** The shot that is out, or null. */
  Attempt activeAttempt() {
    Attempt last = attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
    return last != null && last.outcome == null ? last : null;
  }

  /** The first shot that may have run, or null. */
  Attempt firstPossiblyExecuted() {
    for (Attempt attempt : attempts) {
      if (attempt.outcome == null || !attempt.outcome.provesNotExecuted()) {
        return attempt;
      }
    }
    return null;
  }

  /**
   * Whether the last shot cost its host work or a place in its line, and a further one would again.
   */
  boolean isRetryCostly() {
    AttemptOutcome outcome =
        attempts.isEmpty() ? AttemptOutcome.NOT_SENT : attempts.get(attempts.size() - 1).outcome;
    return outcome != AttemptOutcome.NOT_SENT
        && outcome != AttemptOutcome.CONNECT_FAILED
        && outcome != AttemptOutcome.REPLICA_LAGGING;
  }

  /** Shots that were answered with an error. */
  long errorCount() {
    return attempts.stream().filter(attempt -> attempt.outcome == AttemptOutcome.ERROR).count();
  }

  void enqueue() {
    if (!queued) {
      queued = true;
      waitQueue().add(this);
    }
  }

  void dequeue() {
    if (queued) {
      queued = false;
      waitQueue().remove(this);
    }
  }

  /** Further shots wait in a line of their own; an access changes line only while it is in none. */
  private List<PendingRequest> waitQueue() {
    return attempts.isEmpty() ? group.firstAttempts : group.retries;
  }

  void finish() {
    finished = true;
    dequeue();
    group.endPrimaryDiscovery(this);
  }
}
