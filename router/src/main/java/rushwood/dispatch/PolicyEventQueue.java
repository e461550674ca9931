package rushwood.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import rushwood.api.RoutingPolicy;

/**
 * Delivers events to the routing policy, one at a time and in order. An event that occurs while the
 * policy handles another one is queued until that call has returned.
 */
final class PolicyEventQueue {
  private final Deque<Consumer<RoutingPolicy>> pending = new ArrayDeque<>();
  private final Counters counters;
  private @Nullable RoutingPolicy policy;
  private boolean isDelivering;

  PolicyEventQueue(Counters counters) {
    this.counters = counters;
  }

  /** Sets the policy. Must be called once, before the first event. */
  void setPolicy(RoutingPolicy newPolicy) {
    policy = newPolicy;
  }

  /** Delivers an event: at once, or after all earlier events if one is being delivered. */
  void deliver(Consumer<RoutingPolicy> event) {
    pending.add(event);
    if (isDelivering) {
      return;
    }
    isDelivering = true;
    try {
      deliverPending();
    } finally {
      isDelivering = false;
    }
  }

  private void deliverPending() {
    RoutingPolicy currentPolicy = Objects.requireNonNull(policy, "no policy was set");
    for (var event = pending.poll(); event != null; event = pending.poll()) {
      counters.runSafely(event, currentPolicy);
    }
  }
}
