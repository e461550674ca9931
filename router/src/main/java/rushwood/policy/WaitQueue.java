package rushwood.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;

/** Requests of one group that wait for a free slot, in the order in which they were added. */
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
   * Returns the eligible request with the smallest priority value, or null if none is eligible. Of
   * equal values, the one added first is returned. Eligibility is tested in queue order, and only
   * for requests whose value is below the best one so far, because the test may draw random
   * numbers.
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
