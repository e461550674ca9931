package rushwood.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rushwood.api.HostId;

class ConnectBackoffTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final HostId HOST = new HostId("a");

  /** A host that is down gets fewer than fifty attempts in ten seconds, whatever the load. */
  @Test
  void connectAttemptsAreLimitedAfterFailures() {
    ConnectBackoff backoff = new ConnectBackoff(new SplittableRandom(9), true);
    int attempts = 0;
    for (long now = 0; now < 10_000 * NANOS_PER_MILLI; now += NANOS_PER_MILLI) {
      for (int i = 0; i < 20; i++) {
        if (backoff.isAttemptAllowed(HOST, now)) {
          backoff.attemptStarted(HOST);
          attempts++;
          backoff.attemptFailed(HOST, now);
        }
      }
    }
    assertTrue(attempts > 15 && attempts < 50, attempts + " attempts in ten seconds");
    long now = 11_000 * NANOS_PER_MILLI;
    assertTrue(backoff.isAttemptAllowed(HOST, now));
    backoff.attemptStarted(HOST);
    assertFalse(backoff.isAttemptAllowed(HOST, now), "one attempt at a time");
    backoff.attemptSucceeded(HOST);
    backoff.attemptStarted(HOST);
    assertTrue(
        backoff.isAttemptAllowed(HOST, now), "a host that accepts connections is not limited");
    backoff.forget(HOST);
    backoff.attemptFailed(HOST, now);
    assertEquals(0, backoff.hostCount(), "a late failure of a forgotten host leaves no state");
  }
}
