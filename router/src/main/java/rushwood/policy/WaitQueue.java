package rushwood.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;

/** Requests that wait for a free slot in one group, in order of arrival in the queue. */
final class WaitQueue {
  private final List<PendingRequest> requests = new ArrayList<>();

  boolean isEmpty() {
    return requests.isEmpty();
  }

  void add(PendingRequest pending) {
    requests.add(pending);
  }

  void remove(PendingRequest pending) {
    requests.remove(pending);
  }

  List<PendingRequest> requests() {
    return requests;
  }

  /**
   * Returns the eligible request with the smallest priority value, the earliest of equal ones, if
   * there is one. Eligibility is tested in queue order, and only for requests whose value is below
   * the best one so far: the test may draw random numbers.
   */
  @Nullable PendingRequest findFirst(
      ToLongFunction<PendingRequest> priority, Predicate<PendingRequest> isEligible) {
    PendingRequest best = null;
    long bestPriority = Long.MAX_VALUE;
    for (PendingRequest pending : requests) {
      long value = priority.applyAsLong(pending);
      if (value < bestPriority && isEligible.test(pending)) {
        best = pending;
        bestPriority = value;
      }
    }
    return best;
  }
}
