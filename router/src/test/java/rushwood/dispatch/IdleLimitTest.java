package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rushwood.dispatch.FakeEventLoop.NANOS_PER_MILLI;

import org.junit.jupiter.api.Test;

class IdleLimitTest {
  private final IdleLimit limit = new IdleLimit(30_000 * NANOS_PER_MILLI);

  private long limitMillis() {
    return limit.nanos() / NANOS_PER_MILLI;
  }

  @Test
  void limitStartsAtHalfOfHostTimeout() {
    assertEquals(15_000, limitMillis());
  }

  @Test
  void failedReuseLowersLimitToHalfOfIdleTime() {
    limit.reuseFailed(400 * NANOS_PER_MILLI);
    assertEquals(200, limitMillis());
    limit.reuseFailed(800 * NANOS_PER_MILLI);
    assertEquals(200, limitMillis(), "a failure after a longer idle time does not raise the limit");
  }

  @Test
  void limitNeverFallsBelowMinimum() {
    limit.reuseFailed(150 * NANOS_PER_MILLI);
    assertEquals(100, limitMillis());
    limit.reuseFailed(50 * NANOS_PER_MILLI);
    assertEquals(100, limitMillis());
  }

  @Test
  void limitRecoversByQuarterUpToMaximum() {
    limit.reuseFailed(400 * NANOS_PER_MILLI);
    limit.recover();
    assertEquals(250, limitMillis());
    for (int i = 0; i < 100; i++) {
      limit.recover();
    }
    assertEquals(15_000, limitMillis());
  }
}
