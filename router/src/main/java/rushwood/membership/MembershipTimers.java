package rushwood.membership;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Tasks by the time at which they are due; of equal times, the one scheduled first runs first. */
final class MembershipTimers {
  private record Timer(long dueAt, long order, Runnable task) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::dueAt).thenComparingLong(Timer::order));
  private long scheduledCount;

  void schedule(long dueAt, Runnable task) {
    timers.add(new Timer(dueAt, scheduledCount++, task));
  }

  /** Runs all that is due by {@code now}, also what these tasks schedule by then. */
  void runDue(long now) {
    while (nextDueAt() <= now) {
      timers.poll().task().run();
    }
  }

  /** {@link Long#MAX_VALUE} if nothing is scheduled. */
  long nextDueAt() {
    Timer next = timers.peek();
    return next == null ? Long.MAX_VALUE : next.dueAt();
  }
}
