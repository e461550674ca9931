package rushwood.policy;

import java.util.ArrayList;
import java.util.List;
import rushwood.api.AttemptOutcome;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestClass.Consistency;
import rushwood.api.RequestClass.Idempotency;

/** A request that the policy has accepted, with its attempts. */
final class PendingRequest {
  final Request request;
  final RequestClass requestClass;
  final GroupState group;
  final long arrivedAt;

  /** The end of the latency objective, or the request's deadline if that is earlier. */
  final long objectiveDeadline;

  final List<Attempt> attempts = new ArrayList<>();

  /** Hosts that were behind, or at fault, when this request tried them. */
  final List<HostState> avoidedHosts = new ArrayList<>();

  boolean finished;
  boolean queued;

  /** The position that a replica has to have applied to answer; {@link HostState#NEVER} for any. */
  long requiredPosition;

  PendingRequest(Request request, GroupState group, long arrivedAt) {
    this.request = request;
    this.requestClass = request.requestClass();
    this.group = group;
    this.arrivedAt = arrivedAt;
    objectiveDeadline =
        Math.min(arrivedAt + requestClass.latencyObjectiveNanos(), request.deadline());
  }

  /** The time from arrival to the objective's deadline, in nanoseconds. */
  double objectiveTime() {
    return objectiveDeadline - arrivedAt;
  }

  boolean isWrite() {
    return requestClass.isWrite();
  }

  boolean requires(Consistency consistency) {
    return requestClass.consistency() == consistency;
  }

  boolean isIdempotent() {
    return requestClass.idempotency() == Idempotency.IDEMPOTENT;
  }

  boolean hasIdempotencyKey() {
    return requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY;
  }

  /** The last attempt of a request that has one; it alone can be in flight. */
  Attempt lastAttempt() {
    return attempts.get(attempts.size() - 1);
  }

  boolean hasAttemptInFlight() {
    return !attempts.isEmpty() && lastAttempt().isInFlight();
  }

  boolean isPossiblyExecuted() {
    return firstPossiblyExecuted() != null;
  }

  /** The first attempt that may have been executed, or null. */
  Attempt firstPossiblyExecuted() {
    for (Attempt attempt : attempts) {
      if (attempt.isPossiblyExecuted()) {
        return attempt;
      }
    }
    return null;
  }

  /** Whether the last attempt took work or a queue slot from its host, as a retry would again. */
  boolean isRetryCostly() {
    if (attempts.isEmpty()) {
      return false;
    }
    AttemptOutcome outcome = lastAttempt().outcome;
    return outcome != AttemptOutcome.NOT_SENT
        && outcome != AttemptOutcome.CONNECT_FAILED
        && outcome != AttemptOutcome.REPLICA_LAGGING;
  }

  /** The number of attempts that were answered with an error. */
  long errorCount() {
    return attempts.stream().filter(attempt -> attempt.outcome == AttemptOutcome.ERROR).count();
  }

  /** The hosts that answered with an error. */
  List<HostState> hostsWithErrors() {
    return attempts.stream()
        .filter(attempt -> attempt.outcome == AttemptOutcome.ERROR)
        .map(attempt -> attempt.host)
        .toList();
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

  /** Retries wait in a queue of their own; attempts are added only while a request is in none. */
  private WaitQueue waitQueue() {
    return attempts.isEmpty() ? group.firstAttempts : group.retries;
  }

  void finish() {
    finished = true;
    dequeue();
    group.endPrimaryDiscovery(this);
  }
}
