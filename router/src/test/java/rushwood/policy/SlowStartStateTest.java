package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SlowStartStateTest {
  private final SlowStartState slowStart = new SlowStartState();

  @Test
  void hostWithoutStartTimeStartedLongAgo() {
    assertEquals(Long.MAX_VALUE, slowStart.ageNanos(100));
    slowStart.processStarted(60);
    assertEquals(40, slowStart.ageNanos(100));
  }

  @Test
  void detectsTokensOfEarlierProcess() {
    assertFalse(slowStart.hasTokensOfEarlierProcess());
    slowStart.processStarted(60);
    assertTrue(slowStart.hasTokensOfEarlierProcess());
    slowStart.tokens.reset(1, 70);
    assertFalse(slowStart.hasTokensOfEarlierProcess());
  }

  @Test
  void workRateIsSmoothedAndCountsWorkOnce() {
    slowStart.recordCompletedWork(30);
    slowStart.recordCompletedWork(10);
    slowStart.updateWorkRate(10, 0.5);
    assertEquals(2, slowStart.completedWorkRate(), 1e-9);
    slowStart.updateWorkRate(10, 0.5);
    assertEquals(1, slowStart.completedWorkRate(), 1e-9);
  }
}
