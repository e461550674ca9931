package rushwood.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import rushwood.api.RoutingPolicy;

/**
 * Calls the routing policy, one event at a time and in the order of events. An event that comes up
 * while the policy handles another one waits until that call has returned.
 */
final class PolicyEventQueue {
  private final Deque<Consumer<RoutingPolicy>> pending = new ArrayDeque<>();
  private final Counters counters;
  private @Nullable RoutingPolicy policy;
  private boolean isDelivering;

  PolicyEventQueue(Counters counters) {
    this.counters = counters;
  }

  /** Sets the policy, once and before the first event. */
  void attach(RoutingPolicy attached) {
    policy = attached;
  }

  /** Delivers an event, at once if no other one is being delivered. */
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
    RoutingPolicy attached = Objects.requireNonNull(policy, "attach comes before the first event");
    for (var event = pending.poll(); event != null; event = pending.poll()) {
      counters.runSafely(event, attached);
    }
  }
}
