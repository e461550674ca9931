package rushwood.testbed.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RetryBehaviorTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final SplittableRandom random = new SplittableRandom(1);

  @Test
  void onlyOneBehaviorHonorsRetryAfter() {
    long retryAfter = 333 * NANOS_PER_MILLI;
    assertEquals(retryAfter, RetryBehavior.HONORS_RETRY_AFTER.retryDelay(1, retryAfter, random));
    assertEquals(
        50 * NANOS_PER_MILLI, RetryBehavior.SYNCHRONIZED_BACKOFF.retryDelay(1, retryAfter, random));
    assertEquals(5 * NANOS_PER_MILLI, RetryBehavior.IMMEDIATE.retryDelay(1, retryAfter, random));
  }

  @Test
  void backoffDoublesUpToItsMaximum() {
    long[] expectedMillis = {50, 100, 200, 400, 800, 1600, 2000, 2000};
    for (int i = 0; i < expectedMillis.length; i++) {
      long backoff = expectedMillis[i] * NANOS_PER_MILLI;
      assertEquals(backoff, RetryBehavior.SYNCHRONIZED_BACKOFF.retryDelay(i + 1, 0, random));
      long jittered = RetryBehavior.HONORS_RETRY_AFTER.retryDelay(i + 1, 0, random);
      assertTrue(jittered >= backoff / 2 && jittered < backoff * 3 / 2, jittered + " ns");
    }
    assertEquals(
        2000 * NANOS_PER_MILLI, RetryBehavior.SYNCHRONIZED_BACKOFF.retryDelay(1000, 0, random));
  }
}
