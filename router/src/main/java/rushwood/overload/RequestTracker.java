package rushwood.overload;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import rushwood.api.AttemptResult;
import rushwood.api.Request;
import rushwood.api.RequestId;

/**
 * Follows requests from their arrival until they have their final answer and no attempt is in
 * flight any more. Of those that end without an answer it tells the {@link RepeatDetector}, and
 * {@link AmbiguousWrites} if they may have been executed.
 */
final class RequestTracker {
  // Long after the deadline, and far above any turn of the event loop.
  private static final long OVERDUE_GRACE_NANOS = 1_000_000_000L;

  private final RepeatDetector repeatDetector;
  private final AmbiguousWrites ambiguousWrites;
  private final Map<RequestId, TrackedRequest> requests = new LinkedHashMap<>(); // oldest first
  private long pendingCount;

  RequestTracker(RepeatDetector repeatDetector, AmbiguousWrites ambiguousWrites) {
    this.repeatDetector = repeatDetector;
    this.ambiguousWrites = ambiguousWrites;
  }

  /** How many requests have no final answer yet. */
  long pendingCount() {
    return pendingCount;
  }

  int size() {
    return requests.size();
  }

  /** A request arrived and is passed on to the policy. */
  void requestReceived(Request request) {
    requests.put(request.id(), new TrackedRequest(request));
    pendingCount++;
  }

  /** An attempt was sent; one of a request that is not tracked is ignored. */
  void attemptSent(RequestId requestId) {
    TrackedRequest tracked = requests.get(requestId);
    if (tracked != null) {
      tracked.attemptSent();
    }
  }

  /** An attempt has ended, and with it the request if its answer is the final one. */
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

  /** A request ends without an answer, unless it has ended already: its client may repeat it. */
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
   * Drops requests whose deadline is long over. The dispatcher ends a request by itself when the
   * policy throws an exception over it, and no event tells of that.
   *
   * <p>Stops at the first request that is not overdue: later ones arrived later, so a request with
   * a distant deadline merely keeps them a while longer.
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
