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
  void tasksRunInTheOrderOfDueTimeThenOfScheduling() {
    schedule(30, "c");
    schedule(10, "a");
    schedule(10, "b");
    schedule(20, "cancelled").cancel();
    loop.fireTimerAt(10);
    assertEquals(List.of("a", "b"), done);
    assertEquals(20 * NANOS_PER_MILLI, loop.timerDelayNanos(), "a cancelled task sets no timer");
    loop.fireTimerAt(30);
    assertEquals(List.of("a", "b", "c"), done);
  }

  /** A response that arrived during a pause is read before its timeout runs. */
  @Test
  void tasksRunOneTurnLaterAfterAPause() {
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
  void failingTaskStopsNoOther() {
    loop.timers.schedule(
        10 * NANOS_PER_MILLI,
        () -> {
          throw new IllegalStateException("on purpose");
        });
    schedule(10, "beside");
    schedule(11, "next");
    loop.fireTimerAt(10);
    loop.fireTimerAt(11);
    assertEquals(List.of("beside", "next"), done);
    assertEquals(1, loop.counters.get(Counter.EXCEPTIONS_CAUGHT));
  }
}
