package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class EventLoopClockTest {
  private final FakeEventLoop loop = new FakeEventLoop();

  @Test
  void timeIsConstantWithinTurnAndNeverGoesBack() {
    loop.setTimeNanos(5);
    assertEquals(5, loop.clock.now());
    loop.setTimeNanos(9);
    assertEquals(5, loop.clock.now());
    loop.endTurn();
    assertEquals(9, loop.clock.now());
    loop.endTurn();
    loop.setTimeNanos(7);
    assertEquals(9, loop.clock.now());
  }
}
