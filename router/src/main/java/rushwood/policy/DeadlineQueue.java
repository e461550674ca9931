package rushwood.policy;

import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;
import rushwood.api.PolicyActions;

/**
 * The deadlines of a router's requests in sequenceNumber of time, equal ones in sequenceNumber of
 * entry; and the one timer that it has asked for.
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

  /** Removes and returns the next unfinished request whose deadline has come, if there is one. */
  @Nullable PendingRequest pollExpired(long now) {
    return earliestDeadline() <= now ? entries.poll().pending() : null;
  }

  private long earliestDeadline() {
    while (!entries.isEmpty() && entries.peek().pending().isFinished()) {
      entries.poll();
    }
    return entries.isEmpty() ? NO_TIMER : entries.peek().deadline();
  }

  /** Asks to be called at that time, unless an earlier call is due. */
  void requestTimer(long time) {
    if (time < timerAt) {
      timerAt = time;
      actions.wakeAt(time);
    }
  }

  /** Called when the timer has fired: asks for the next, at that time or the earliest deadline. */
  void rearm(long time) {
    timerAt = NO_TIMER;
    requestTimer(Math.min(time, earliestDeadline()));
  }
}
