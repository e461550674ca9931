package rushwood.policy;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import rushwood.api.AttemptOutcome;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestClass.Consistency;
import rushwood.api.RequestClass.Idempotency;
import rushwood.api.Times;

/**
 * A request that the policy has accepted, with its attempts, of which the last alone can be in
 * flight. Times are clock times in nanoseconds.
 */
final class PendingRequest {
  /** Required of a replica by a read that data of any age may answer. */
  static final long ANY_POSITION = Times.LONG_AGO;

  final Request request;
  final RequestClass requestClass;
  final GroupState group;
  final long arrivedAt;

  /** The end of the latency objective, or the request's deadline if that is earlier. */
  final long objectiveDeadline;

  private final List<Attempt> attempts = new ArrayList<>();
  private final List<HostState> avoidedHosts = new ArrayList<>();
  private long requiredPosition;
  private boolean queued;
  private boolean finished;

  /** Creates a request without attempts that waits in no queue. */
  PendingRequest(Request request, GroupState group, long arrivedAt) {
    this.request = request;
    this.requestClass = request.requestClass();
    this.group = group;
    this.arrivedAt = arrivedAt;
    objectiveDeadline =
        Math.min(arrivedAt + requestClass.latencyObjectiveNanos(), request.deadline());
  }

  /** The time from arrival to the objective's deadline, in nanoseconds. */
  double objectiveNanos() {
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

  /** The position that a replica has to have applied to answer, or {@link #ANY_POSITION}. */
  long requiredPosition() {
    return requiredPosition;
  }

  /** The {@link FreshnessPolicy} asks for that position. */
  void requirePosition(long position) {
    requiredPosition = position;
  }

  /** The request is sent to a host. */
  Attempt startAttempt(HostState host, long now, boolean isControlSample) {
    Attempt attempt = new Attempt(this, host, now, isControlSample);
    attempts.add(attempt);
    return attempt;
  }

  int attemptCount() {
    return attempts.size();
  }

  boolean hasAttempts() {
    return !attempts.isEmpty();
  }

  /** The attempt of that number, from 0; the number is below {@link #attemptCount}. */
  Attempt attempt(int number) {
    return attempts.get(number);
  }

  /** The last attempt of a request that has one; it alone can be in flight. */
  Attempt lastAttempt() {
    return attempts.get(attempts.size() - 1);
  }

  boolean hasAttemptInFlight() {
    return hasAttempts() && lastAttempt().isInFlight();
  }

  boolean isPossiblyExecuted() {
    return firstPossiblyExecutedAttempt() != null;
  }

  /** The first attempt that may have been executed, if there is one. */
  @Nullable Attempt firstPossiblyExecutedAttempt() {
    for (Attempt attempt : attempts) {
      if (attempt.isPossiblyExecuted()) {
        return attempt;
      }
    }
    return null;
  }

  /** The number of attempts that were answered with an error. */
  long errorCount() {
    return attempts.stream().filter(attempt -> attempt.endedWith(AttemptOutcome.ERROR)).count();
  }

  /** The hosts that answered with an error. */
  List<HostState> hostsWithErrors() {
    return attempts.stream()
        .filter(attempt -> attempt.endedWith(AttemptOutcome.ERROR))
        .map(attempt -> attempt.host)
        .toList();
  }

  /** The host was behind, or at fault, when this request tried it. */
  void avoid(HostState host) {
    avoidedHosts.add(host);
  }

  boolean avoids(HostState host) {
    return avoidedHosts.contains(host);
  }

  /** From now on the request may go to hosts again that it has avoided. */
  void forgetAvoidedHosts() {
    avoidedHosts.clear();
  }

  /** Lets the request wait in a queue of its group; has no effect if it does already. */
  void enqueue() {
    if (!queued) {
      queued = true;
      waitQueue().add(this);
    }
  }

  /** Takes the request out of its queue if it is in one. */
  void dequeue() {
    if (queued) {
      queued = false;
      waitQueue().remove(this);
    }
  }

  boolean isQueued() {
    return queued;
  }

  /** Retries wait in a queue of their own; attempts are added only while a request is in none. */
  private WaitQueue waitQueue() {
    return hasAttempts() ? group.retries : group.firstAttempts;
  }

  /** The request has its final answer, or needs none any more. */
  void finish() {
    finished = true;
    dequeue();
    group.endPrimaryDiscovery(this);
  }

  boolean isFinished() {
    return finished;
  }
}
