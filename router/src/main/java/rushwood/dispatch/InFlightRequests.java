package rushwood.dispatch;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;

/** Holds the requests in flight, and the ids of recently finished requests. */
final class InFlightRequests {
  /** The number of finished requests whose ids are kept: two seconds of 1,000 requests each. */
  private static final int MAX_RECENTLY_FINISHED_IDS = 2000;

  private final Map<RequestId, InFlightRequest> requests = new HashMap<>();
  private final Set<RequestId> recentlyFinishedIds = new LinkedHashSet<>();
  private final Counters counters;
  private final PolicyEventQueue events;
  private long unansweredCount;

  InFlightRequests(Counters counters, PolicyEventQueue events) {
    this.counters = counters;
    this.events = events;
  }

  InFlightRequest add(RequestId id, Statement statement, ClientResponder responder) {
    counters.checkInvariant(!requests.containsKey(id), "the id of a new request is not in flight");
    InFlightRequest request = new InFlightRequest(id, statement, responder);
    requests.put(id, request);
    unansweredCount++;
    return request;
  }

  /** Returns the request with the given id, or null if it is not in flight. */
  @Nullable InFlightRequest find(RequestId id) {
    return requests.get(id);
  }

  /** Returns the request with the given id, or null if it is not in flight or is answered. */
  @Nullable InFlightRequest findUnanswered(RequestId id) {
    InFlightRequest request = requests.get(id);
    return request == null || request.isAnswered() ? null : request;
  }

  /** Returns whether a request with the given id is in flight or finished recently. */
  boolean isIdInUse(RequestId id) {
    return requests.containsKey(id) || recentlyFinishedIds.contains(id);
  }

  /** Returns the number of requests without a final response. */
  long unansweredCount() {
    return unansweredCount;
  }

  /** Marks an unanswered request as answered and returns the responder for its final response. */
  ClientResponder markAnswered(InFlightRequest request) {
    unansweredCount--;
    return request.takeResponder();
  }

  /**
   * Delivers an event about a request to the routing policy, and removes the request if it is
   * finished afterwards. If the policy throws and the request has no attempt in flight, the request
   * fails because nothing else would answer its client.
   */
  void notifyPolicy(InFlightRequest request, Consumer<RoutingPolicy> event) {
    events.deliver(
        policy -> {
          boolean handled = counters.runSafely(event, policy);
          if (!handled && !request.isAnswered() && request.attemptsInFlight() == 0) {
            counters.increment(Counter.REQUESTS_FAILED);
            markAnswered(request).sendFailure();
          }
          removeIfFinished(request);
        });
  }

  /**
   * Releases and removes a finished request and keeps its id; does nothing for an unfinished one.
   */
  void removeIfFinished(InFlightRequest request) {
    if (request.isFinished() && requests.remove(request.id(), request)) {
      request.statement().release();
      recentlyFinishedIds.add(request.id());
      if (recentlyFinishedIds.size() > MAX_RECENTLY_FINISHED_IDS) {
        recentlyFinishedIds.remove(recentlyFinishedIds.iterator().next());
      }
    }
  }
}
