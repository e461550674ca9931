package rushwood.testbed.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The pending events of a simulation, ordered by time. Events of the same time run in the order in
 * which they were scheduled, so that a run is deterministic. All times are in nanoseconds.
 */
final class EventQueue {
  private record Event(long time, long sequence, Runnable task) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));
  private final long startTime;
  private long now;
  private long nextSequence;

  EventQueue(long startTime) {
    this.startTime = startTime;
    now = startTime;
  }

  /** Returns the time of the event that runs or ran last; the start time before the first one. */
  long now() {
    return now;
  }

  /** Returns the time since the start. */
  long elapsed() {
    return now - startTime;
  }

  /** Schedules a task for a time; one that is in the past is treated as now. */
  void schedule(long time, Runnable task) {
    events.add(new Event(Math.max(now, time), nextSequence++, task));
  }

  /** Schedules a task for a time that is counted from the start. */
  void scheduleAtElapsed(long elapsed, Runnable task) {
    schedule(startTime + elapsed, task);
  }

  /** Schedules a task after a delay. */
  void scheduleAfter(long delay, Runnable task) {
    schedule(now + delay, task);
  }

  /**
   * Runs the next event if it is due within a time from the start.
   *
   * @return whether an event ran
   */
  boolean runNext(long maxElapsed) {
    if (events.isEmpty() || events.peek().time() > startTime + maxElapsed) {
      return false;
    }
    Event event = events.poll();
    now = event.time();
    event.task().run();
    return true;
  }
}
