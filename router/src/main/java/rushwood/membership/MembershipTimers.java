package rushwood.membership;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in the order of their due times; tasks with equal times run in scheduling order. */
final class MembershipTimers {
  private record Timer(long dueAt, long order, Runnable task) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::dueAt).thenComparingLong(Timer::order));
  private long scheduledCount;

  void schedule(long dueAt, Runnable task) {
    timers.add(new Timer(dueAt, scheduledCount++, task));
  }

  /**
   * Runs all tasks that are due at or before {@code now}, including those that one of these tasks
   * schedules.
   */
  void runDue(long now) {
    while (nextDueAt() <= now) {
      timers.poll().task().run();
    }
  }

  /** Returns the due time of the next task; {@link Long#MAX_VALUE} if none is scheduled. */
  long nextDueAt() {
    Timer next = timers.peek();
    return next == null ? Long.MAX_VALUE : next.dueAt();
  }
}
