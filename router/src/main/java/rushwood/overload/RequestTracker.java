package rushwood.overload;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import rushwood.api.AttemptResult;
import rushwood.api.Request;
import rushwood.api.RequestId;

/**
 * Tracks requests from their arrival until they have ended and none of their attempts is in flight.
 * Reports requests that end without an answer to the {@link RepeatDetector}, and to {@link
 * AmbiguousWrites} if they may have been executed.
 */
final class RequestTracker {
  // Far longer than any turn of the event loop.
  private static final long OVERDUE_GRACE_NANOS = 1_000_000_000L;

  private final RepeatDetector repeatDetector;
  private final AmbiguousWrites ambiguousWrites;
  private final Map<RequestId, TrackedRequest> requests = new LinkedHashMap<>(); // oldest first
  private long pendingCount;

  RequestTracker(RepeatDetector repeatDetector, AmbiguousWrites ambiguousWrites) {
    this.repeatDetector = repeatDetector;
    this.ambiguousWrites = ambiguousWrites;
  }

  /** Returns the number of requests that have not ended yet. */
  long pendingCount() {
    return pendingCount;
  }

  int size() {
    return requests.size();
  }

  /** Starts tracking a request that is passed on to the policy. */
  void requestReceived(Request request) {
    requests.put(request.id(), new TrackedRequest(request));
    pendingCount++;
  }

  /** Records that an attempt was sent; does nothing if the request is not tracked. */
  void attemptSent(RequestId requestId) {
    TrackedRequest tracked = requests.get(requestId);
    if (tracked != null) {
      tracked.attemptSent();
    }
  }

  /**
   * Records the end of an attempt, and the end of its request if the client needs no other answer.
   */
  void attemptFinished(long now, AttemptResult result) {
    TrackedRequest tracked = requests.get(result.request());
    if (tracked == null) {
      return;
    }
    tracked.attemptFinished(result.outcome());
    if (result.requestFinished() && !tracked.isFinished()) {
      tracked.markAnswered();
      pendingCount--;
    }
    removeIfSettled(now, tracked);
  }

  /**
   * Records that a request ended without an answer, so that its client may repeat it; does nothing
   * if the request has ended already.
   */
  void requestUnanswered(long now, RequestId requestId) {
    TrackedRequest tracked = requests.get(requestId);
    if (tracked == null || tracked.isFinished()) {
      return;
    }
    tracked.markUnanswered();
    pendingCount--;
    if (tracked.request().hasFingerprint()) {
      repeatDetector.recordUnanswered(now, tracked.request());
      if (tracked.isPossiblyExecuted()) {
        ambiguousWrites.add(now, tracked);
      }
    }
    removeIfSettled(now, tracked);
  }

  private void removeIfSettled(long now, TrackedRequest tracked) {
    if (!tracked.isSettled()) {
      return;
    }
    requests.remove(tracked.request().id());
    if (!tracked.isPossiblyExecuted()) {
      ambiguousWrites.resolve(now, tracked);
    }
  }

  /**
   * Drops requests whose deadline has long passed. If the policy throws an exception while it
   * handles a request, the dispatcher ends that request itself, and no event reports it.
   *
   * <p>Requests are checked in the order of arrival, up to the first that is not overdue, so a
   * request with a distant deadline delays the removal of later ones.
   */
  void removeOverdue(long now) {
    Iterator<TrackedRequest> oldestFirst = requests.values().iterator();
    while (oldestFirst.hasNext()) {
      TrackedRequest tracked = oldestFirst.next();
      if (tracked.request().deadline() > now - OVERDUE_GRACE_NANOS) {
        return;
      }
      pendingCount -= tracked.isFinished() ? 0 : 1;
      oldestFirst.remove();
    }
  }
}
