package rushwood.net;

import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.TimerQueue;

/**
 * Slows down a client that sends one statement after the other that is not accepted, by how many
 * were rejected in a row:
 *
 * <ul>
 *   <li>up to {@link #REJECTIONS_BEFORE_PAUSE}: nothing;
 *   <li>more: its input is paused for {@link #PAUSE_NANOS} after each;
 *   <li>more than {@link #MAX_REJECTIONS}: its connection has to be closed.
 * </ul>
 *
 * <p>Guards against clients that repeat a statement as soon as it is rejected; others notice
 * nothing.
 */
final class RejectionThrottle {
  private static final int REJECTIONS_BEFORE_PAUSE = 3;
  private static final int MAX_REJECTIONS = 12;
  private static final long PAUSE_NANOS = 50_000_000L;

  private final EventLoopClock clock;
  private final TimerQueue timers;
  private int rejectionsInARow;
  private boolean paused;

  RejectionThrottle(EventLoopClock clock, TimerQueue timers) {
    this.clock = clock;
    this.timers = timers;
  }

  /** A statement was accepted. A pause goes on. */
  void reset() {
    rejectionsInARow = 0;
  }

  /** A statement was rejected; {@code resume} runs at the end of a pause, if there is one. */
  void recordRejection(Runnable resume) {
    rejectionsInARow++;
    if (rejectionsInARow > REJECTIONS_BEFORE_PAUSE) {
      paused = true;
      timers.schedule(clock.now() + PAUSE_NANOS, () -> endPause(resume));
    }
  }

  private void endPause(Runnable resume) {
    paused = false;
    resume.run();
  }

  /** Whether the client's input is not to be processed now. */
  boolean isPaused() {
    return paused;
  }

  /** Whether the connection has to be closed. */
  boolean isExceeded() {
    return rejectionsInARow > MAX_REJECTIONS;
  }
}
