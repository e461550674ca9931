package rushwood.net;

import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.TimerQueue;

/**
 * Slows down a client whose statements are rejected, depending on the number of consecutive
 * rejections:
 *
 * <ul>
 *   <li>up to {@link #REJECTIONS_BEFORE_PAUSE}: no effect;
 *   <li>more: input is paused for {@link #PAUSE_NANOS} after each rejection;
 *   <li>more than {@link #MAX_REJECTIONS}: the connection has to be closed.
 * </ul>
 *
 * <p>Protects the router from clients that resend a statement as soon as it is rejected.
 */
final class RejectionThrottle {
  private static final int REJECTIONS_BEFORE_PAUSE = 3;
  private static final int MAX_REJECTIONS = 12;
  private static final long PAUSE_NANOS = 50_000_000L;

  private final EventLoopClock clock;
  private final TimerQueue timers;
  private int consecutiveRejections;
  private boolean paused;

  RejectionThrottle(EventLoopClock clock, TimerQueue timers) {
    this.clock = clock;
    this.timers = timers;
  }

  /** Resets the count after a statement was accepted. Does not end a pause. */
  void reset() {
    consecutiveRejections = 0;
  }

  /**
   * Records that a statement was rejected.
   *
   * @param resume runs at the end of the pause if this rejection causes one
   */
  void recordRejection(Runnable resume) {
    consecutiveRejections++;
    if (consecutiveRejections > REJECTIONS_BEFORE_PAUSE) {
      paused = true;
      timers.schedule(clock.now() + PAUSE_NANOS, () -> endPause(resume));
    }
  }

  private void endPause(Runnable resume) {
    paused = false;
    resume.run();
  }

  /** Returns whether the client's input must not be processed now. */
  boolean isPaused() {
    return paused;
  }

  /** Returns whether the connection has to be closed. */
  boolean hasTooManyRejections() {
    return consecutiveRejections > MAX_REJECTIONS;
  }
}
