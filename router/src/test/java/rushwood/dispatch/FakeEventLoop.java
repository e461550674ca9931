package rushwood.dispatch;

import java.util.ArrayList;
import java.util.List;

/** An event loop whose turns, time and timer are controlled by a test. */
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

  /** Returns the delay with which the timer was last set. */
  long timerDelayNanos() {
    return timerDelayNanos;
  }

  long timeMillis() {
    return time / NANOS_PER_MILLI;
  }

  /** Sets the time without ending the current turn, which has lasted until then. */
  void setTimeNanos(long nanos) {
    time = nanos;
  }

  /** Extends the current turn by the given time. */
  public void stall(long millis) {
    time += millis * NANOS_PER_MILLI;
  }

  /** Runs a turn now, and advances the time without running another one. */
  void pause(long millis) {
    clock.now();
    endTurn();
    stall(millis);
  }

  void endTurn() {
    turnEnds.forEach(Runnable::run);
    turnEnds.clear();
  }

  /** Runs one turn at the given time, in which the timer fires. */
  void fireTimerAt(long millis) {
    endTurn();
    time = millis * NANOS_PER_MILLI;
    runTimerTask();
  }

  /** Advances to the given time and runs the turns in which the timer fires until then. */
  void advanceTo(long millis) {
    long until = millis * NANOS_PER_MILLI;
    endTurn();
    while (timerTask != null && timerDueAt <= until) {
      time = Math.max(time, timerDueAt); // after a pause the timer may be overdue
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
