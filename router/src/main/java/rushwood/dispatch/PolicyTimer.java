package rushwood.dispatch;

import org.jspecify.annotations.Nullable;
import rushwood.api.RoutingPolicy;

/** Wakes the routing policy at the one time that it asked for last. */
final class PolicyTimer {
  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final PolicyEventQueue events;
  private TimerQueue.@Nullable ScheduledTask scheduled;

  PolicyTimer(EventLoopClock clock, TimerQueue timers, PolicyEventQueue events) {
    this.clock = clock;
    this.timers = timers;
    this.events = events;
  }

  /** Calls {@link RoutingPolicy#timerFired} at that time, in place of the time set before. */
  void wakeAt(long time) {
    if (scheduled != null) {
      scheduled.cancel();
    }
    scheduled =
        timers.schedule(time, () -> events.deliver(policy -> policy.timerFired(clock.now())));
  }
}
