package rushwood.dispatch;

import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;

/**
 * The scheduled tasks of one router, run from a single timer in the order of their due times; tasks
 * due at the same time run in the order in which they were scheduled. Used on the event loop's
 * thread only.
 */
public final class TimerQueue {
  /** The timer that the queue is run from. */
  public interface Timer {
    /** Runs the task once, {@code delayNanos} from now, in place of the task set before. */
    void reschedule(long delayNanos, Runnable task);
  }

  /** A task that waits for its due time and can be cancelled until then. */
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
     * @return whether it was still to be run
     */
    public boolean cancel() {
      return take() != null;
    }

    private boolean isPending() {
      return task != null;
    }

    /** The task, to be run once, unless it was run or cancelled before. */
    private @Nullable Runnable take() {
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

  /** Long enough that a busy time of many late turns counts with its longest. */
  private static final long LATENESS_HALF_LIFE_NANOS = 1_000_000_000L;

  /** A timer that fires this late shows that the process was paused: some turns of the loop. */
  private static final long PAUSE_THRESHOLD_NANOS = 10_000_000;

  private static final long NOT_ARMED = Long.MAX_VALUE;

  /** Earlier than any task: the timer is not set while due tasks run. */
  private static final long RUNNING_TASKS = Long.MIN_VALUE;

  private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>();
  private final EventLoopClock clock;
  private final Timer timer;
  private final Counters counters;
  private long nextSequence;
  private final DecayingMaximum lateness = new DecayingMaximum(LATENESS_HALF_LIFE_NANOS);
  private long armedFor = NOT_ARMED;
  private long dueAtEarliest; // when the armed timer is due, but not before it was armed
  private boolean deferredForReads;

  /** Creates an empty queue; exceptions of its tasks are counted and reported by the counters. */
  public TimerQueue(EventLoopClock clock, Timer timer, Counters counters) {
    this.clock = clock;
    this.timer = timer;
    this.counters = counters;
  }

  /** Runs a task once the clock has reached {@code dueAt}, Unix time in nanoseconds. */
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
    if (!tasks.isEmpty() && tasks.peek().dueAt < armedFor) {
      armedFor = tasks.peek().dueAt;
      dueAtEarliest = Math.max(armedFor, clock.now());
      timer.reschedule(Math.max(0, armedFor - clock.now()), this::onTimer);
    }
  }

  /**
   * Runs the due tasks; after a pause one turn of the event loop later, so that sockets are read
   * first and no response that has already arrived is taken for one that timed out.
   */
  private void onTimer() {
    long now = clock.now();
    if (!deferredForReads && now - armedFor > PAUSE_THRESHOLD_NANOS) {
      deferredForReads = true;
      timer.reschedule(0, this::onTimer);
      return;
    }
    deferredForReads = false;
    lateness.record(Math.max(0, now - dueAtEarliest), now);
    armedFor = RUNNING_TASKS;
    try {
      runDueTasks(now);
    } finally {
      armedFor = NOT_ARMED;
      armTimer();
    }
  }

  /**
   * By how much tasks have run late at most, in nanoseconds, where a value counts half after a
   * second. A task that answers a client has to be due that much earlier to be in time.
   */
  public long recentLatenessNanos() {
    return lateness.at(clock.now());
  }

  private void runDueTasks(long now) {
    while (!tasks.isEmpty() && tasks.peek().dueAt <= now) {
      Runnable task = tasks.poll().take();
      if (task != null) {
        counters.runSafely(task);
      }
    }
  }
}
