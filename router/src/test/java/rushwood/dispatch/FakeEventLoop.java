package rushwood.dispatch;

import java.util.ArrayList;
import java.util.List;

/** An event loop whose turns, time and timer a test drives. */
public final class FakeEventLoop {
  public static final long NANOS_PER_MILLI = 1_000_000L;

  private final List<Runnable> turnEnds = new ArrayList<>();
  private long time;
  private Runnable timerTask;
  private long timerDueAt;
  private long timerDelayNanos;

  public final Counters counters = new Counters();
  public final EventLoopClock clock = new EventLoopClock(() -> time, turnEnds::add);
  public final TimerQueue timers = new TimerQueue(clock, this::setTimer, counters);

  private void setTimer(long delayNanos, Runnable task) {
    timerTask = task;
    timerDueAt = time + delayNanos;
    timerDelayNanos = delayNanos;
  }

  /** The delay with which the timer was last set. */
  long timerDelayNanos() {
    return timerDelayNanos;
  }

  long timeMillis() {
    return time / NANOS_PER_MILLI;
  }

  /** Sets the time without a turn of the loop: the current turn has lasted until then. */
  void setTimeNanos(long nanos) {
    time = nanos;
  }

  /** Lets the current turn last that much longer. */
  void stall(long millis) {
    time += millis * NANOS_PER_MILLI;
  }

  /** Takes a turn now, and lets the time until the next one pass without any. */
  void pause(long millis) {
    clock.now();
    endTurn();
    stall(millis);
  }

  void endTurn() {
    turnEnds.forEach(Runnable::run);
    turnEnds.clear();
  }

  /** Runs one turn at that time, in which the timer fires. */
  void fireTimerAt(long millis) {
    endTurn();
    time = millis * NANOS_PER_MILLI;
    runTimerTask();
  }

  /** Runs the turns in which the timer fires until then. */
  void advanceTo(long millis) {
    long until = millis * NANOS_PER_MILLI;
    endTurn();
    while (timerTask != null && timerDueAt <= until) {
      time = Math.max(time, timerDueAt); // a pause may have passed it
      runTimerTask();
      endTurn();
    }
    time = until;
  }

  public void advanceBy(long millis) {
    advanceTo(timeMillis() + millis);
  }

  private void runTimerTask() {
    Runnable task = timerTask;
    timerTask = null;
    task.run();
  }
}
