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
 * A request that the policy has accepted, and its attempts, of which only the last can be in
 * flight. Times are clock times in nanoseconds.
 */
final class PendingRequest {
  /** The required position of a read that accepts data of any age. */
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

  /** Creates a request without attempts that is in no wait queue. */
  PendingRequest(Request request, GroupState group, long arrivedAt) {
    this.request = request;
    this.requestClass = request.requestClass();
    this.group = group;
    this.arrivedAt = arrivedAt;
    objectiveDeadline =
        Math.min(arrivedAt + requestClass.latencyObjectiveNanos(), request.deadline());
  }

  /** Returns the time from arrival to {@link #objectiveDeadline}, in nanoseconds. */
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

  /**
   * Returns the log position that a replica must have applied to answer the request, or {@link
   * #ANY_POSITION}.
   */
  long requiredPosition() {
    return requiredPosition;
  }

  /** Sets the required position; called by {@link FreshnessPolicy}. */
  void requirePosition(long position) {
    requiredPosition = position;
  }

  /** Creates and returns an attempt at the given host. */
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

  /** Returns the attempt with the given index, from 0 to {@link #attemptCount} - 1. */
  Attempt attempt(int number) {
    return attempts.get(number);
  }

  /**
   * Returns the last attempt, the only one that can be in flight. The request must have an attempt.
   */
  Attempt lastAttempt() {
    return attempts.get(attempts.size() - 1);
  }

  boolean hasAttemptInFlight() {
    return hasAttempts() && lastAttempt().isInFlight();
  }

  boolean isPossiblyExecuted() {
    return firstPossiblyExecutedAttempt() != null;
  }

  /** Returns the first attempt that the host may have executed, or null if there is none. */
  @Nullable Attempt firstPossiblyExecutedAttempt() {
    for (Attempt attempt : attempts) {
      if (attempt.isPossiblyExecuted()) {
        return attempt;
      }
    }
    return null;
  }

  /** Returns the number of attempts that were answered with an error. */
  long errorCount() {
    return attempts.stream().filter(attempt -> attempt.endedWith(AttemptOutcome.ERROR)).count();
  }

  /** Returns the hosts that answered with an error. */
  List<HostState> hostsWithErrors() {
    return attempts.stream()
        .filter(attempt -> attempt.endedWith(AttemptOutcome.ERROR))
        .map(attempt -> attempt.host)
        .toList();
  }

  /** Excludes a host that lagged or was at fault when this request was sent to it. */
  void avoid(HostState host) {
    avoidedHosts.add(host);
  }

  boolean avoids(HostState host) {
    return avoidedHosts.contains(host);
  }

  /** Allows the request to go again to the hosts that it has avoided. */
  void forgetAvoidedHosts() {
    avoidedHosts.clear();
  }

  /** Adds the request to a wait queue of its group; has no effect if it is in one. */
  void enqueue() {
    if (!queued) {
      queued = true;
      waitQueue().add(this);
    }
  }

  /** Removes the request from its wait queue if it is in one. */
  void dequeue() {
    if (queued) {
      queued = false;
      waitQueue().remove(this);
    }
  }

  boolean isQueued() {
    return queued;
  }

  /**
   * Retries have a queue of their own. The result stays the same while the request is queued,
   * because attempts start only after it has left the queue.
   */
  private WaitQueue waitQueue() {
    return hasAttempts() ? group.retries : group.firstAttempts;
  }

  /** Marks the request as finished: it has its final answer or needs none. */
  void finish() {
    finished = true;
    dequeue();
    group.endPrimarySearch(this);
  }

  boolean isFinished() {
    return finished;
  }
}
