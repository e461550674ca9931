package rushwood.overload;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Allows one retry for five first attempts, ten more per second, and the initial 20 tokens. */
  @Test
  void retriesStayWithinBudget() {
    RetryBudget budget = new RetryBudget(0.2, 10);
    int retries = 0;
    for (int i = 0; i < 10_000; i++) {
      long now = i * NANOS_PER_MILLI;
      budget.recordUnlimitedAttempt(now);
      for (int j = 0; j < 3; j++) {
        if (budget.isRetryAllowed(now)) {
          budget.recordRetry(now);
          retries++;
        }
      }
    }
    assertTrue(
        retries >= 2000 && retries <= 2000 + 100 + 20,
        retries + " retries for 10,000 first attempts in ten seconds");
  }
}
