package rushwood.policy;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Stream;

/**
 * The attempts at one host that have no result yet, in order of sending. Each occupies a slot of
 * the host until it ends or is presumed lost.
 */
final class InFlightAttempts implements Iterable<Attempt> {
  private final List<Attempt> attempts = new ArrayList<>();
  private int presumedLostCount;

  void add(Attempt attempt) {
    attempts.add(attempt);
  }

  void remove(Attempt attempt) {
    if (attempts.remove(attempt) && attempt.isPresumedLost()) {
      presumedLostCount--;
    }
  }

  @Override
  public Iterator<Attempt> iterator() {
    return attempts.iterator();
  }

  Stream<Attempt> stream() {
    return attempts.stream();
  }

  boolean isEmpty() {
    return attempts.isEmpty();
  }

  /** Returns the number of attempts in flight, including those presumed lost. */
  int size() {
    return attempts.size();
  }

  /** Returns the number of attempts in flight that are not presumed lost. */
  int occupiedSlots() {
    return attempts.size() - presumedLostCount;
  }

  /**
   * Frees the slot of an attempt in flight whose answer is no longer expected. May be called only
   * once for an attempt.
   */
  void presumeLost(Attempt attempt) {
    attempt.presumeLost();
    presumedLostCount++;
  }

  /** Counts an answer for every attempt in flight that was sent before the answered one. */
  void incrementOvertakenCounts(Attempt answered) {
    for (Attempt attempt : attempts) {
      if (attempt.sentAt < answered.sentAt) {
        attempt.incrementOvertakenCount();
      }
    }
  }
}
