package rushwood.policy;

import java.util.PriorityQueue;
import rushwood.api.PolicyActions;

/** The due times of one router in order, equal times as they came, and the one wake asked for. */
final class DeadlineQueue {
  private record Entry(long deadline, long order, PendingRequest pending)
      implements Comparable<Entry> {
    @Override
    public int compareTo(Entry other) {
      return deadline != other.deadline
          ? Long.compare(deadline, other.deadline)
          : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Entry> entries = new PriorityQueue<>();
  private final PolicyActions outlet;
  private long nextOrder;
  private long requestedAt = Long.MAX_VALUE;

  DeadlineQueue(PolicyActions actions) {
    this.outlet = actions;
  }

  void add(long deadline, PendingRequest pending) {
    entries.add(new Entry(deadline, nextOrder++, pending));
    requestTimer(deadline);
  }

  /** The next access that is due by now and not over, or null. */
  PendingRequest pollExpired(long now) {
    return earliestDeadline() <= now ? entries.poll().pending() : null;
  }

  private long earliestDeadline() {
    while (!entries.isEmpty() && entries.peek().pending().finished) {
      entries.poll();
    }
    return entries.isEmpty() ? Long.MAX_VALUE : entries.peek().deadline();
  }

  void requestTimer(long at) {
    if (at < requestedAt) {
      requestedAt = at;
      outlet.wakeAt(at);
    }
  }

  /**
   * Asks for the next wake, at that time or the earliest due; called once the last one has come.
   */
  void rearm(long at) {
    requestedAt = Long.MAX_VALUE;
    requestTimer(Math.min(at, earliestDeadline()));
  }
}
