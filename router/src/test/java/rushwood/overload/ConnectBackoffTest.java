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
    for (long at = 0; at < 10_000 * NANOS_PER_MILLI; at += NANOS_PER_MILLI) {
      for (int i = 0; i < 20; i++) {
        if (backoff.isAttemptAllowed(HOST, at)) {
          backoff.attemptStarted(HOST);
          attempts++;
          backoff.attemptFailed(HOST, at);
        }
      }
    }
    assertTrue(attempts > 15 && attempts < 50, attempts + " attempts in ten seconds");
    long at = 11_000 * NANOS_PER_MILLI;
    assertTrue(backoff.isAttemptAllowed(HOST, at));
    backoff.attemptStarted(HOST);
    assertFalse(backoff.isAttemptAllowed(HOST, at), "one attempt at a time");
    backoff.attemptSucceeded(HOST);
    backoff.attemptStarted(HOST);
    assertTrue(
        backoff.isAttemptAllowed(HOST, at), "a host that accepts connections is not limited");
    backoff.forget(HOST);
    backoff.attemptFailed(HOST, at);
    assertEquals(0, backoff.hostCount(), "a late failure of a forgotten host leaves no state");
  }
}
