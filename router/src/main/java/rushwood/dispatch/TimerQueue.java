package rushwood.dispatch;

import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;

/**
 * Runs the scheduled tasks of one router from a single timer, in the order of their due times.
 * Tasks due at the same time run in the order in which they were scheduled. Used on the event
 * loop's thread only.
 */
public final class TimerQueue {
  /** A one-shot timer that drives the queue. */
  public interface Timer {
    /** Schedules the task to run once after {@code delayNanos}, and cancels the previous one. */
    void reschedule(long delayNanos, Runnable task);
  }

  /** A scheduled task, which can be cancelled until it runs. */
  public static final class ScheduledTask implements Comparable<ScheduledTask> {
    private final long dueAt;
    private final long sequence;
    private @Nullable Runnable task;

    private ScheduledTask(long dueAt, long sequence, Runnable task) {
      this.dueAt = dueAt;
      this.sequence = sequence;
      this.task = task;
    }

    /**
     * Cancels the task.
     *
     * @return whether the task was still pending, neither run nor cancelled before
     */
    public boolean cancel() {
      return takeTask() != null;
    }

    private boolean isPending() {
      return task != null;
    }

    /** Returns the task and clears it; returns null if it was run or cancelled before. */
    private @Nullable Runnable takeTask() {
      Runnable taken = task;
      task = null;
      return taken;
    }

    @Override
    public int compareTo(ScheduledTask other) {
      return dueAt != other.dueAt
          ? Long.compare(dueAt, other.dueAt)
          : Long.compare(sequence, other.sequence);
    }
  }

  /** Long enough that the longest delay in a busy period of many late turns still counts. */
  private static final long LATENESS_HALF_LIFE_NANOS = 1_000_000_000L;

  /**
   * A timer that fires later than this indicates that the process was paused. The threshold is as
   * long as several turns of the event loop.
   */
  private static final long PAUSE_THRESHOLD_NANOS = 10_000_000;

  private static final long NOT_ARMED = Long.MAX_VALUE;

  /** Earlier than the due time of any task, so that the timer is not set while tasks run. */
  private static final long RUNNING_TASKS = Long.MIN_VALUE;

  private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>();
  private final EventLoopClock clock;
  private final Timer timer;
  private final Counters counters;
  private long nextSequence;
  private final DecayingMaximum lateness = new DecayingMaximum(LATENESS_HALF_LIFE_NANOS);
  private long armedDueTime = NOT_ARMED;

  /** When the armed timer is due; the time at which it was armed if that is later. */
  private long expectedFireTime;

  private boolean deferredForReads;

  /** Creates an empty queue whose tasks run in {@link Counters#runSafely(Runnable)}. */
  public TimerQueue(EventLoopClock clock, Timer timer, Counters counters) {
    this.clock = clock;
    this.timer = timer;
    this.counters = counters;
  }

  /**
   * Schedules a task.
   *
   * @param dueAt when the task is due, Unix time in nanoseconds; a time in the past is due at once
   */
  public ScheduledTask schedule(long dueAt, Runnable task) {
    ScheduledTask scheduled = new ScheduledTask(dueAt, nextSequence++, task);
    tasks.add(scheduled);
    armTimer();
    return scheduled;
  }

  private void armTimer() {
    while (!tasks.isEmpty() && !tasks.peek().isPending()) {
      tasks.poll();
    }
    if (!tasks.isEmpty() && tasks.peek().dueAt < armedDueTime) {
      armedDueTime = tasks.peek().dueAt;
      expectedFireTime = Math.max(armedDueTime, clock.now());
      timer.reschedule(Math.max(0, armedDueTime - clock.now()), this::onTimer);
    }
  }

  /**
   * Runs the due tasks. After a pause of the process, they run one turn of the event loop later:
   * sockets are read first, so that a response that has already arrived is not timed out.
   */
  private void onTimer() {
    long now = clock.now();
    if (!deferredForReads && now - armedDueTime > PAUSE_THRESHOLD_NANOS) {
      deferredForReads = true;
      timer.reschedule(0, this::onTimer);
      return;
    }
    deferredForReads = false;
    lateness.record(Math.max(0, now - expectedFireTime), now);
    armedDueTime = RUNNING_TASKS;
    try {
      runDueTasks(now);
    } finally {
      armedDueTime = NOT_ARMED;
      armTimer();
    }
  }

  /**
   * Returns the maximum recent delay in nanoseconds with which tasks were run after their due time;
   * each delay decays with a half-life of one second. A task that has to answer a client by a
   * deadline should be scheduled earlier by this much.
   */
  public long recentLatenessNanos() {
    return lateness.at(clock.now());
  }

  private void runDueTasks(long now) {
    while (!tasks.isEmpty() && tasks.peek().dueAt <= now) {
      Runnable task = tasks.poll().takeTask();
      if (task != null) {
        counters.runSafely(task);
      }
    }
  }
}
