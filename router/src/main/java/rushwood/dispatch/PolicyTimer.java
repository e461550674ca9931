package rushwood.dispatch;

import org.jspecify.annotations.Nullable;
import rushwood.api.RoutingPolicy;

/** The single timer of the routing policy; each new wake-up time replaces the previous one. */
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

  /**
   * Schedules {@link RoutingPolicy#timerFired} for the given time instead of the time set before.
   */
  void wakeAt(long time) {
    if (scheduled != null) {
      scheduled.cancel();
    }
    scheduled =
        timers.schedule(time, () -> events.deliver(policy -> policy.timerFired(clock.now())));
  }
}
