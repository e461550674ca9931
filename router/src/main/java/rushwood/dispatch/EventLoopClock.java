package rushwood.dispatch;

import java.time.Instant;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * A clock of Unix time in nanoseconds that never goes back. It is read once in each turn of the
 * event loop, so that everything in one turn has the same timestamp. Also tracks turns and pauses
 * of the process. Used on the event loop's thread only.
 */
public final class EventLoopClock {
  /**
   * The longest time between the starts of two turns of an idle event loop. The creator of a clock
   * must schedule a timer at this interval, so that a much longer gap means that the process was
   * paused, not that it was idle.
   */
  public static final long MAX_TURN_INTERVAL_NANOS = 20_000_000;

  /** The time after the end of a pause by which all sockets have been read. */
  private static final long MAX_READ_DELAY_AFTER_PAUSE_NANOS = 20_000_000;

  /** After a shorter gap between two turns the event loop may not have waited for input at all. */
  private static final long MIN_IDLE_GAP_NANOS = 5_000_000;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long BEFORE_FIRST_TURN = Long.MIN_VALUE;

  private final LongSupplier timeSource;
  private final Consumer<Runnable> runAtTurnEnd;
  private final PauseDetector pauseDetector = new PauseDetector();
  private long now = BEFORE_FIRST_TURN;
  private long previousTurnEnd;

  /** The earliest time at which input that is read in the current turn may have arrived. */
  private long earliestUnreadArrival;

  private long turnNumber;
  private long longestTurnNanos; // since the last call of takeLongestTurnNanos
  private boolean isReadInCurrentTurn;

  /**
   * Creates a clock.
   *
   * @param timeSource monotonic Unix time in nanoseconds
   * @param runAtTurnEnd runs the given task when the current turn of the event loop has ended
   */
  public EventLoopClock(LongSupplier timeSource, Consumer<Runnable> runAtTurnEnd) {
    this.timeSource = timeSource;
    this.runAtTurnEnd = runAtTurnEnd;
  }

  /**
   * Creates a clock that starts at the system's Unix time and advances with its monotonic clock.
   *
   * @param runAtTurnEnd runs the given task when the current turn of the event loop has ended
   */
  public static EventLoopClock system(Consumer<Runnable> runAtTurnEnd) {
    Instant start = Instant.now();
    long startNanos = start.getEpochSecond() * NANOS_PER_SECOND + start.getNano();
    long offset = startNanos - System.nanoTime();
    return new EventLoopClock(() -> offset + System.nanoTime(), runAtTurnEnd);
  }

  /** Returns the time of the current turn, Unix time in nanoseconds. */
  public long now() {
    if (!isReadInCurrentTurn) {
      isReadInCurrentTurn = true;
      startTurn(Math.max(now, timeSource.getAsLong()));
      runAtTurnEnd.accept(this::endTurn);
    }
    return now;
  }

  private void startTurn(long time) {
    if (now == BEFORE_FIRST_TURN) {
      now = time;
      previousTurnEnd = time;
    }
    pauseDetector.turnStarted(now, time);
    earliestUnreadArrival = wasIdleUntil(time) ? time : now;
    now = time;
    turnNumber++;
  }

  /**
   * Returns whether the event loop was waiting for input from the end of the previous turn until
   * the given time: for at least {@link #MIN_IDLE_GAP_NANOS}, and no shorter than that turn took.
   * Called while {@code now} is still the time of the previous turn.
   */
  private boolean wasIdleUntil(long time) {
    long workNanos = previousTurnEnd - now;
    long waitNanos = time - previousTurnEnd;
    return waitNanos >= Math.max(MIN_IDLE_GAP_NANOS, workNanos);
  }

  private void endTurn() {
    isReadInCurrentTurn = false;
    previousTurnEnd = Math.max(now, timeSource.getAsLong());
    longestTurnNanos = Math.max(longestTurnNanos, previousTurnEnd - now);
  }

  /**
   * Returns the length in nanoseconds of the longest turn that has ended since the last call, or 0
   * if none has ended. A turn that the clock was not read in does not count.
   */
  public long takeLongestTurnNanos() {
    long longest = longestTurnNanos;
    longestTurnNanos = 0;
    return longest;
  }

  /** Returns how long the current turn has lasted so far, in nanoseconds. */
  public long turnNanos() {
    return timeSource.getAsLong() - now();
  }

  /** Returns the number of the current turn. Numbers increase by one with each turn. */
  public long turnNumber() {
    now();
    return turnNumber;
  }

  /**
   * Returns whether there may be unread input that is older than {@code maxAgeNanos}. This is the
   * case in a turn that has lasted longer than {@code maxAgeNanos}, and in the first two turns
   * after a longer pause: a signal may have started the first turn without any socket being polled,
   * and the second turn reads the sockets in no particular order. A task scheduled for later than
   * {@link #now} runs after both.
   */
  public boolean canHaveUnreadInput(long maxAgeNanos) {
    return pauseDetector.hasRecentPauseLongerThan(maxAgeNanos, turnNanos());
  }

  /**
   * Returns the longest recent pause of this process in nanoseconds, 0 if there was none. The value
   * of a pause decays exponentially with a half-life of ten seconds.
   */
  public long recentLongestPauseNanos() {
    return pauseDetector.recentLongestNanos(now);
  }

  /**
   * Returns the earliest time at which input that is read now may have arrived. The waiting time of
   * a client counts from when it wrote its request: a request written during a pause is not read
   * before the end of the pause, and one written during a turn is not read before the next turn.
   * While the event loop waits, input is read as soon as it arrives.
   */
  public long earliestArrival() {
    return Math.min(recentPauseStartOrNow(MAX_READ_DELAY_AFTER_PAUSE_NANOS), earliestUnreadArrival);
  }

  /**
   * Returns the start of the last pause if it ended at most {@code maxAgeNanos} ago, else the time
   * of the current turn. A signal or input handled now may have arrived at the returned time.
   */
  public long recentPauseStartOrNow(long maxAgeNanos) {
    return pauseDetector.startOfPauseEndedWithin(maxAgeNanos, now());
  }
}
