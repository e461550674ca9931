package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class TimerQueueTest {
  private static final long MS = 1_000_000L;

  private final List<Runnable> turnEnds = new ArrayList<>();
  private final List<String> done = new ArrayList<>();
  private final List<Long> delays = new ArrayList<>();
  private long time;
  private Runnable timerTask;
  private final Counters counters = new Counters();
  private final EventLoopClock clock = new EventLoopClock(() -> time, turnEnds::add);
  private final TimerQueue timers =
      new TimerQueue(
          clock,
          (delay, task) -> {
            delays.add(delay);
            timerTask = task;
          },
          counters);

  /** One turn at that time in which the timer runs. */
  private void turn(long at) {
    turnEnds.forEach(Runnable::run);
    turnEnds.clear();
    time = at;
    Runnable task = timerTask;
    timerTask = null;
    task.run();
  }

  @Test
  void inOrderAndEqualTimesAsTheyCame() {
    timers.schedule(30 * MS, () -> done.add("c"));
    timers.schedule(10 * MS, () -> done.add("a"));
    timers.schedule(10 * MS, () -> done.add("b"));
    timers.schedule(20 * MS, () -> done.add("off")).cancel();
    turn(10 * MS);
    assertEquals(List.of("a", "b"), done);
    assertEquals(20 * MS, delays.get(delays.size() - 1), "what was called off sets no timer");
    turn(30 * MS);
    assertEquals(List.of("a", "b", "c"), done);
  }

  /**
   * A process that stood still has answers in its sockets: they are read before anything runs out.
   */
  @Test
  void afterAPauseTheSocketsComeFirst() {
    TimerQueue.ScheduledTask expiry = timers.schedule(10 * MS, () -> done.add("expired"));
    timers.schedule(10 * MS, () -> done.add("other"));
    turn(500 * MS);
    assertEquals(List.of(), done);
    assertEquals(0, delays.get(delays.size() - 1));
    expiry.cancel(); // its answer was read in between
    turn(501 * MS);
    assertEquals(List.of("other"), done);
  }

  @Test
  void aTaskThatFailsStopsNothing() {
    timers.schedule(
        10 * MS,
        () -> {
          throw new IllegalStateException("on purpose");
        });
    timers.schedule(10 * MS, () -> done.add("beside"));
    timers.schedule(11 * MS, () -> done.add("next"));
    turn(10 * MS);
    turn(11 * MS);
    assertEquals(List.of("beside", "next"), done);
    assertEquals(1, counters.get(Counter.EXCEPTIONS_CAUGHT));
  }

  @Test
  void theClockStandsWithinATurnAndNeverGoesBack() {
    time = 5;
    assertEquals(5, clock.now());
    time = 9;
    assertEquals(5, clock.now());
    turnEnds.remove(0).run();
    assertEquals(9, clock.now());
    turnEnds.remove(0).run();
    time = 7;
    assertEquals(9, clock.now());
  }
}
