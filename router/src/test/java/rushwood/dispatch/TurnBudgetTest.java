package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TurnBudgetTest {
  private final FakeEventLoop loop = new FakeEventLoop();
  private final TurnBudget budget = new TurnBudget(loop.clock, 10 * FakeEventLoop.NANOS_PER_MILLI);

  @Test
  void timeCountsFromTheFirstUseInATurn() {
    loop.clock.now();
    loop.stall(100);
    assertTrue(budget.hasTime());
    loop.stall(9);
    assertTrue(budget.hasTime());
    loop.stall(1);
    assertFalse(budget.hasTime());
  }

  @Test
  void theNextTurnHasTimeAgain() {
    assertTrue(budget.hasTime());
    loop.stall(10);
    assertFalse(budget.hasTime());
    loop.endTurn();
    loop.stall(1);
    assertTrue(budget.hasTime());
  }
}
