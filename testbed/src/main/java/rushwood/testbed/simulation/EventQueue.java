package rushwood.testbed.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The events of a simulation in the order of their times; those of one time run in the order in
 * which they were scheduled, so a run can be repeated exactly. Times are in nanoseconds.
 */
final class EventQueue {
  private record Event(long at, long sequence, Runnable task) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
  private final long start;
  private long now;
  private long nextSequence;

  EventQueue(long start) {
    this.start = start;
    now = start;
  }

  /** The time of the event that runs. */
  long now() {
    return now;
  }

  /** The time since the start. */
  long elapsed() {
    return now - start;
  }

  /** Schedules a task; a time that has passed means now. */
  void schedule(long at, Runnable task) {
    events.add(new Event(Math.max(now, at), nextSequence++, task));
  }

  /** Schedules a task at that time from the start. */
  void scheduleAtElapsed(long elapsed, Runnable task) {
    schedule(start + elapsed, task);
  }

  /** Schedules a task after a delay. */
  void scheduleAfter(long delay, Runnable task) {
    schedule(now + delay, task);
  }

  /** Runs the next event, unless it comes later than that after the start or there is none. */
  boolean runNext(long maxElapsed) {
    if (events.isEmpty() || events.peek().at() > start + maxElapsed) {
      return false;
    }
    Event event = events.poll();
    now = event.at();
    event.task().run();
    return true;
  }
}
