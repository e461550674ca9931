package rushwood.policy;

import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;
import rushwood.api.PolicyActions;

/**
 * Requests in order of their deadlines, those with equal deadlines in order of insertion, and the
 * only timer of the policy. Times are clock times in nanoseconds.
 */
final class DeadlineQueue {
  private record Entry(long deadline, long sequenceNumber, PendingRequest pending)
      implements Comparable<Entry> {
    @Override
    public int compareTo(Entry other) {
      return deadline != other.deadline
          ? Long.compare(deadline, other.deadline)
          : Long.compare(sequenceNumber, other.sequenceNumber);
    }
  }

  private static final long NO_TIMER = Long.MAX_VALUE;

  private final PriorityQueue<Entry> entries = new PriorityQueue<>();
  private final PolicyActions actions;
  private long nextSequenceNumber;
  private long timerAt = NO_TIMER;

  DeadlineQueue(PolicyActions actions) {
    this.actions = actions;
  }

  void add(long deadline, PendingRequest pending) {
    entries.add(new Entry(deadline, nextSequenceNumber++, pending));
    requestTimer(deadline);
  }

  /**
   * Removes and returns the unfinished request with the earliest deadline, or returns null if that
   * deadline has not been reached.
   */
  @Nullable PendingRequest pollExpired(long now) {
    return earliestDeadline() <= now ? entries.poll().pending() : null;
  }

  private long earliestDeadline() {
    while (!entries.isEmpty() && entries.peek().pending().isFinished()) {
      entries.poll();
    }
    return entries.isEmpty() ? NO_TIMER : entries.peek().deadline();
  }

  /** Requests a timer for the given time, unless one is set for that time or earlier. */
  void requestTimer(long time) {
    if (time < timerAt) {
      timerAt = time;
      actions.wakeAt(time);
    }
  }

  /**
   * Requests the next timer after one has fired: for the given time or the earliest deadline,
   * whichever comes first.
   */
  void rearm(long time) {
    timerAt = NO_TIMER;
    requestTimer(Math.min(time, earliestDeadline()));
  }
}
