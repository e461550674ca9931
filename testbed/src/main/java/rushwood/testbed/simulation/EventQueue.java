package rushwood.testbed.simulation;

import java.util.PriorityQueue;

/**
 * What is to happen, in order of time and then of its making; a run with the same seed is the same
 * run.
 */
final class EventQueue {
  private record Event(long at, long order, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now;
  private long order;

  EventQueue(long start) {
    now = start;
  }

  long now() {
    return now;
  }

  void schedule(long when, Runnable task) {
    events.add(new Event(Math.max(now, when), order++, task));
  }

  /** Runs the next one; false if there is none before that time. */
  boolean runNext(long end) {
    if (events.isEmpty() || events.peek().at() > end) {
      return false;
    }
    Event event = events.poll();
    now = event.at();
    event.task().run();
    return true;
  }
}
