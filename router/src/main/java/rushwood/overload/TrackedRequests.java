package rushwood.overload;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import rushwood.api.Request;
import rushwood.api.RequestId;

/** The requests that wait for a final answer or for the end of an attempt, in order of arrival. */
final class TrackedRequests {
  // Long after the deadline, and far above any turn of the event loop.
  private static final long OVERDUE_GRACE_NANOS = 1_000_000_000L;

  private final Map<RequestId, TrackedRequest> requests = new LinkedHashMap<>();
  private long waiting;

  TrackedRequest add(Request request) {
    TrackedRequest tracked = new TrackedRequest(request);
    requests.put(request.id(), tracked);
    waiting++;
    return tracked;
  }

  /** The request of that id, or null if it is not tracked. */
  TrackedRequest get(RequestId id) {
    return requests.get(id);
  }

  void remove(TrackedRequest tracked) {
    requests.remove(tracked.request().id());
  }

  void succeed(TrackedRequest tracked) {
    tracked.succeed();
    waiting--;
  }

  void endUnanswered(TrackedRequest tracked) {
    tracked.endUnanswered();
    waiting--;
  }

  /** How many requests have no final answer yet. */
  long waiting() {
    return waiting;
  }

  int size() {
    return requests.size();
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
      waiting -= tracked.isFinished() ? 0 : 1;
      oldestFirst.remove();
    }
  }
}
