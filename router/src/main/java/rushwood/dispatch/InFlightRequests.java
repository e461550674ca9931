package rushwood.dispatch;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;

/** The requests in flight, and the ids of those that finished a moment ago. */
final class InFlightRequests {
  /** How many ids of finished requests are kept: those of some seconds. */
  private static final int MAX_RECENT_IDS = 2000;

  private final Map<RequestId, InFlightRequest> requests = new HashMap<>();
  private final Set<RequestId> recentIds = new LinkedHashSet<>();
  private final Counters counters;
  private final PolicyEventQueue events;
  private long unansweredCount;

  InFlightRequests(Counters counters, PolicyEventQueue events) {
    this.counters = counters;
    this.events = events;
  }

  InFlightRequest add(RequestId id, Statement statement, ClientResponder responder) {
    counters.checkInvariant(!requests.containsKey(id), "an id stands for one request");
    InFlightRequest request = new InFlightRequest(id, statement, responder);
    requests.put(id, request);
    unansweredCount++;
    return request;
  }

  /** The request of that id, if it is in flight. */
  @Nullable InFlightRequest find(RequestId id) {
    return requests.get(id);
  }

  /** The request of that id, if it is in flight and waits for its final response. */
  @Nullable InFlightRequest findUnanswered(RequestId id) {
    InFlightRequest request = requests.get(id);
    return request == null || request.isAnswered() ? null : request;
  }

  /** Whether a request of that id is in flight or was so a moment ago. */
  boolean isIdInUse(RequestId id) {
    return requests.containsKey(id) || recentIds.contains(id);
  }

  /** How many requests wait for their final response. */
  long unansweredCount() {
    return unansweredCount;
  }

  /** Marks an unanswered request as answered and returns what sends the final response. */
  ClientResponder markAnswered(InFlightRequest request) {
    unansweredCount--;
    return request.takeResponder();
  }

  /**
   * Delivers an event about a request to the routing policy, and forgets the request if it is
   * finished then. If the policy fails over the event and the request has no attempt in flight, the
   * request fails: nothing else would answer its client.
   */
  void notifyPolicy(InFlightRequest request, Consumer<RoutingPolicy> event) {
    events.deliver(
        policy -> {
          boolean handled = counters.runSafely(event, policy);
          if (!handled && !request.isAnswered() && request.attemptsInFlight() == 0) {
            counters.increment(Counter.REQUESTS_FAILED);
            markAnswered(request).sendFailure();
          }
          forgetIfFinished(request);
        });
  }

  /** Forgets a request that is answered and has no attempt in flight, but for its id. */
  void forgetIfFinished(InFlightRequest request) {
    if (request.isFinished() && requests.remove(request.id(), request)) {
      request.statement().release();
      recentIds.add(request.id());
      if (recentIds.size() > MAX_RECENT_IDS) {
        recentIds.remove(recentIds.iterator().next());
      }
    }
  }
}
