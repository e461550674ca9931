package rushwood.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import rushwood.dispatch.FakeEventLoop;

class RejectionThrottleTest {
  private final FakeEventLoop loop = new FakeEventLoop();
  private final RejectionThrottle throttle = new RejectionThrottle(loop.clock, loop.timers);
  private int resumeCount;

  private void reject(int times) {
    for (int i = 0; i < times; i++) {
      throttle.recordRejection(() -> resumeCount++);
    }
  }

  @Test
  void fourthConsecutiveRejectionPausesInputFor50Millis() {
    reject(3);
    assertFalse(throttle.isPaused());
    reject(1);
    loop.advanceBy(49);
    assertTrue(throttle.isPaused());
    assertEquals(0, resumeCount);
    loop.advanceBy(1);
    assertFalse(throttle.isPaused());
    assertEquals(1, resumeCount);
  }

  @Test
  void acceptedStatementResetsTheCountButDoesNotEndThePause() {
    reject(4);
    throttle.reset();
    assertTrue(throttle.isPaused());
    loop.advanceBy(50);
    reject(3);
    assertFalse(throttle.isPaused());
  }

  @Test
  void thirteenthConsecutiveRejectionIsTooMany() {
    reject(12);
    assertFalse(throttle.hasTooManyRejections());
    reject(1);
    assertTrue(throttle.hasTooManyRejections());
  }
}
