package rushwood.dispatch;

import java.time.Instant;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Unix time in nanoseconds that never goes back, read once a turn of the event loop. */
public final class EventLoopClock {
  /** The longest that a turn is to be away: who makes a clock sees to a turn this often. */
  public static final long MAX_TURN_INTERVAL_NANOS = 20_000_000;

  private static final long PAUSE_HALF_LIFE_NANOS =
      10_000_000_000L; // half of the longest pause is forgotten in so long
  private static final long PAUSE_THRESHOLD_NANOS =
      40_000_000; // between turns: twice the beat that keeps them coming
  private static final long READ_AFTER_PAUSE_NANOS =
      20_000_000; // after a pause, until what came in it has been read

  private final LongSupplier timeSource;
  private final Consumer<Runnable> runAtTurnEnd;
  private long now = Long.MIN_VALUE;
  private long pauseStart;
  private long pauseEnd = Long.MIN_VALUE;
  private long longestPauseAtEnd; // pause, as of its end
  private boolean isCurrent;
  private long turnGap; // between this turn and the one before
  private long previousTurnGap; // and between that one and its own

  /** With a source of monotonic Unix time, and what runs a task when the turn ends. */
  public EventLoopClock(LongSupplier timeSource, Consumer<Runnable> runAtTurnEnd) {
    this.timeSource = timeSource;
    this.runAtTurnEnd = runAtTurnEnd;
  }

  /** Unix time as of now, carried on by the monotonic clock. */
  public static EventLoopClock system(Consumer<Runnable> runAtTurnEnd) {
    Instant start = Instant.now();
    long epochOffset =
        start.getEpochSecond() * 1_000_000_000L + start.getNano() - System.nanoTime();
    return new EventLoopClock(() -> epochOffset + System.nanoTime(), runAtTurnEnd);
  }

  public long now() {
    if (!isCurrent) {
      isCurrent = true;
      startTurn(Math.max(now, timeSource.getAsLong()));
      runAtTurnEnd.accept(() -> isCurrent = false);
    }
    return now;
  }

  private void startTurn(long time) {
    previousTurnGap = turnGap;
    turnGap = now == Long.MIN_VALUE ? 0 : time - now;
    if (turnGap > PAUSE_THRESHOLD_NANOS) {
      longestPauseAtEnd = Math.max(turnGap, recentLongestPause());
      pauseStart = now;
      pauseEnd = time;
    }
    now = time;
  }

  /**
   * Whether what was read before this turn may be older than {@code limit}: after such a pause, in
   * a turn that has lasted that long itself, and in the turn after either. For a wait that a signal
   * ends, as one that let the process go on, is over with no socket looked at, and only the next
   * turn reads them, in no order. What is due later than now is done when those of its turn have
   * been read.
   */
  public boolean isStale(long maxAgeNanos) {
    long threshold = Math.max(PAUSE_THRESHOLD_NANOS, maxAgeNanos);
    return timeSource.getAsLong() - now() > threshold
        || Math.max(turnGap, previousTurnGap) > threshold;
  }

  /**
   * How long this process has stood still lately at the longest; what is past counts for less and
   * less.
   */
  public long recentLongestPause() {
    return longestPauseAtEnd == 0
        ? 0
        : (long)
            (longestPauseAtEnd * Math.pow(0.5, (double) (now - pauseEnd) / PAUSE_HALF_LIFE_NANOS));
  }

  /**
   * When what is read now may have come at the earliest: the time that a client waits counts from
   * when it wrote, and what it wrote while this process stood still has waited unread.
   */
  public long earliestArrival() {
    return earliestArrival(READ_AFTER_PAUSE_NANOS);
  }

  /**
   * The same for what takes up to {@code settle} from a pause's end to get here, as a signal does.
   */
  public long earliestArrival(long delayNanos) {
    return now() <= pauseEnd + delayNanos ? pauseStart : now;
  }
}
