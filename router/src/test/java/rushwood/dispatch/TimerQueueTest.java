package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rushwood.dispatch.FakeEventLoop.NANOS_PER_MILLI;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class TimerQueueTest {
  private final FakeEventLoop loop = new FakeEventLoop();
  private final List<String> done = new ArrayList<>();

  private TimerQueue.ScheduledTask schedule(long atMillis, String name) {
    return loop.timers.schedule(atMillis * NANOS_PER_MILLI, () -> done.add(name));
  }

  @Test
  void tasksRunInOrderOfDueTimeThenOfScheduling() {
    schedule(30, "c");
    schedule(10, "a");
    schedule(10, "b");
    schedule(20, "cancelled").cancel();
    loop.fireTimerAt(10);
    assertEquals(List.of("a", "b"), done);
    assertEquals(
        20 * NANOS_PER_MILLI, loop.timerDelayNanos(), "the timer is not set for a cancelled task");
    loop.fireTimerAt(30);
    assertEquals(List.of("a", "b", "c"), done);
  }

  /** A response that arrived during a pause must be read before its timeout runs. */
  @Test
  void tasksRunOneTurnLaterAfterPause() {
    TimerQueue.ScheduledTask timeout = schedule(10, "timeout");
    schedule(10, "other");
    loop.fireTimerAt(500);
    assertEquals(List.of(), done);
    assertEquals(0, loop.timerDelayNanos());
    timeout.cancel();
    loop.fireTimerAt(501);
    assertEquals(List.of("other"), done);
  }

  @Test
  void maximumLatenessDecaysWithHalfLifeOfOneSecond() {
    schedule(10, "in time");
    loop.fireTimerAt(10);
    assertEquals(0, loop.timers.recentLatenessNanos());
    schedule(20, "late");
    loop.fireTimerAt(320); // only sockets are read in this turn
    loop.fireTimerAt(420);
    assertEquals(400 * NANOS_PER_MILLI, loop.timers.recentLatenessNanos());
    schedule(1410, "less late");
    loop.fireTimerAt(1420);
    assertEquals(200 * NANOS_PER_MILLI, loop.timers.recentLatenessNanos());
  }

  /** A task scheduled for a past time is due at once; its lateness counts from its scheduling. */
  @Test
  void taskScheduledInThePastIsNotLate() {
    loop.advanceTo(500);
    schedule(10, "due at once");
    loop.fireTimerAt(501);
    loop.fireTimerAt(501);
    assertEquals(List.of("due at once"), done);
    assertEquals(NANOS_PER_MILLI, loop.timers.recentLatenessNanos());
  }

  @Test
  void failingTaskDoesNotStopOthers() {
    loop.timers.schedule(
        10 * NANOS_PER_MILLI,
        () -> {
          throw new IllegalStateException("on purpose");
        });
    schedule(10, "same time");
    schedule(11, "next");
    loop.fireTimerAt(10);
    loop.fireTimerAt(11);
    assertEquals(List.of("same time", "next"), done);
    assertEquals(1, loop.counters.get(Counter.EXCEPTIONS_CAUGHT));
  }
}
