package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class InFlightAttemptsTest {
  private final HostState host = PolicyFixtures.host("a", 1);
  private final InFlightAttempts attempts = host.inFlight;

  private Attempt send(long sentAt) {
    Attempt attempt = new Attempt(PolicyFixtures.pendingRead("r" + sentAt), host, sentAt, false);
    attempts.add(attempt);
    return attempt;
  }

  @Test
  void attemptPresumedLostFreesItsSlotOnlyOnce() {
    Attempt lost = send(1);
    Attempt other = send(2);
    attempts.presumeLost(lost);
    assertEquals(2, attempts.size());
    assertEquals(1, attempts.occupiedSlots());
    attempts.remove(lost);
    assertEquals(1, attempts.occupiedSlots());
    attempts.remove(other);
    assertEquals(0, attempts.occupiedSlots());
    assertTrue(attempts.isEmpty());
  }

  @Test
  void removingAttemptTwiceHasNoFurtherEffect() {
    Attempt lost = send(1);
    send(2);
    attempts.presumeLost(lost);
    attempts.remove(lost);
    attempts.remove(lost);
    assertEquals(1, attempts.occupiedSlots());
  }

  @Test
  void answerOvertakesOnlyEarlierAttempts() {
    Attempt earlier = send(1);
    Attempt answered = send(2);
    Attempt atTheSameTime = send(2);
    Attempt later = send(3);
    attempts.incrementOvertakenCounts(answered);
    assertEquals(1, earlier.overtakenCount());
    assertEquals(0, answered.overtakenCount());
    assertEquals(0, atTheSameTime.overtakenCount());
    assertEquals(0, later.overtakenCount());
  }
}
