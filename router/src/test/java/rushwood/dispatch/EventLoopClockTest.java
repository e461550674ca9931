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

  @Test
  void longestTurnIsTakenOnce() {
    loop.clock.now();
    loop.stall(300);
    assertEquals(0, loop.clock.takeLongestTurnNanos(), "the turn has not ended");
    loop.endTurn();
    loop.clock.now();
    loop.stall(2);
    loop.endTurn();
    assertEquals(300 * FakeEventLoop.NANOS_PER_MILLI, loop.clock.takeLongestTurnNanos());
    assertEquals(0, loop.clock.takeLongestTurnNanos());
  }
}
