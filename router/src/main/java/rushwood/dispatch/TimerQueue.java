package rushwood.dispatch;

import java.util.PriorityQueue;

/** All due times of a router in order, equal ones as they came, on one timer. */
public final class TimerQueue {
  /** The timer: runs a task once, so many nanoseconds from now; a new setting replaces the last. */
  public interface Timer {
    void reschedule(long delayNanos, Runnable task);
  }

  /** Something due; it can be called off. */
  public static final class ScheduledTask implements Comparable<ScheduledTask> {
    private final long dueAt;
    private final long sequence;
    private Runnable task;

    private ScheduledTask(long dueAt, long sequence, Runnable task) {
      this.dueAt = dueAt;
      this.sequence = sequence;
      this.task = task;
    }

    /** Whether it was still to come. */
    public boolean cancel() {
      boolean wasPending = task != null;
      task = null;
      return wasPending;
    }

    @Override
    public int compareTo(ScheduledTask other) {
      return dueAt != other.dueAt
          ? Long.compare(dueAt, other.dueAt)
          : Long.compare(sequence, other.sequence);
    }
  }

  private static final long PAUSE_THRESHOLD_NANOS =
      10_000_000; // this late, the process stood still: some loop turns

  private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>();
  private final EventLoopClock clock;
  private final Timer timer;
  private final Counters counters;
  private long nextSequence;
  private long armedFor = Long.MAX_VALUE;
  private boolean deferredForReads;

  public TimerQueue(EventLoopClock clock, Timer timer, Counters counters) {
    this.clock = clock;
    this.timer = timer;
    this.counters = counters;
  }

  public ScheduledTask schedule(long dueAt, Runnable task) {
    ScheduledTask scheduled = new ScheduledTask(dueAt, nextSequence++, task);
    tasks.add(scheduled);
    armTimer();
    return scheduled;
  }

  private void armTimer() {
    while (!tasks.isEmpty() && tasks.peek().task == null) {
      tasks.poll();
    }
    if (!tasks.isEmpty() && tasks.peek().dueAt < armedFor) {
      armedFor = tasks.peek().dueAt;
      timer.reschedule(Math.max(0, armedFor - clock.now()), this::runDueTasks);
    }
  }

  /**
   * After a pause the sockets hold answers that came in time: they get a turn before what is due,
   * so that no answer that is already here is taken for one that never came.
   */
  private void runDueTasks() {
    long now = clock.now();
    if (!deferredForReads && now - armedFor > PAUSE_THRESHOLD_NANOS) {
      deferredForReads = true;
      timer.reschedule(0, this::runDueTasks);
      return;
    }
    deferredForReads = false;
    armedFor = Long.MIN_VALUE; // nothing is set anew until the due are through
    try {
      while (!tasks.isEmpty() && tasks.peek().dueAt <= now) {
        ScheduledTask due = tasks.poll();
        Runnable task = due.task;
        due.task = null;
        if (task != null) {
          counters.runSafely(task);
        }
      }
    } finally {
      armedFor = Long.MAX_VALUE;
      armTimer();
    }
  }
}
