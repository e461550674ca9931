package rushwood.dispatch;

import java.time.Instant;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Unix time in nanoseconds that never goes back and is read once in each turn of the event loop, so
 * that everything in one turn happens at the same time. Used on the event loop's thread only.
 */
public final class EventLoopClock {
  /**
   * The longest time between two turns. Whoever creates a clock schedules a timer that often; a
   * longer gap then means that the process was paused, not that it was idle.
   */
  public static final long MAX_TURN_INTERVAL_NANOS = 20_000_000;

  /** By when sockets have been read after a pause, counted from its end. */
  private static final long READ_AFTER_PAUSE_NANOS = 20_000_000;

  /** A loop that waited no longer than this between two turns may not have waited at all. */
  private static final long SHORT_WAIT_NANOS = 5_000_000;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long BEFORE_FIRST_TURN = Long.MIN_VALUE;

  private final LongSupplier timeSource;
  private final Consumer<Runnable> runAtTurnEnd;
  private final PauseDetector pauses = new PauseDetector();
  private long now = BEFORE_FIRST_TURN;
  private long turnEnd; // of the turn before the current one
  private long oldestUnread; // when input may have arrived that is read in the current turn
  private long turnNumber;
  private boolean isCurrent;

  /**
   * Creates a clock.
   *
   * @param timeSource monotonic Unix time in nanoseconds
   * @param runAtTurnEnd runs a task once the current turn of the event loop has ended
   */
  public EventLoopClock(LongSupplier timeSource, Consumer<Runnable> runAtTurnEnd) {
    this.timeSource = timeSource;
    this.runAtTurnEnd = runAtTurnEnd;
  }

  /** A clock that starts at the system's Unix time and goes on with its monotonic clock. */
  public static EventLoopClock system(Consumer<Runnable> runAtTurnEnd) {
    Instant start = Instant.now();
    long startNanos = start.getEpochSecond() * NANOS_PER_SECOND + start.getNano();
    long offset = startNanos - System.nanoTime();
    return new EventLoopClock(() -> offset + System.nanoTime(), runAtTurnEnd);
  }

  /** The time of the current turn: Unix time in nanoseconds. */
  public long now() {
    if (!isCurrent) {
      isCurrent = true;
      startTurn(Math.max(now, timeSource.getAsLong()));
      runAtTurnEnd.accept(this::endTurn);
    }
    return now;
  }

  private void startTurn(long time) {
    if (now == BEFORE_FIRST_TURN) {
      now = time;
      turnEnd = time;
    }
    pauses.turnStarted(now, time);
    oldestUnread = hasWaitedUntil(time) ? time : now;
    now = time;
    turnNumber++;
  }

  /** Whether the loop had nothing to do before that time; {@code now} is still the last turn's. */
  private boolean hasWaitedUntil(long time) {
    long workNanos = turnEnd - now;
    long waitNanos = time - turnEnd;
    return waitNanos >= Math.max(SHORT_WAIT_NANOS, workNanos);
  }

  private void endTurn() {
    isCurrent = false;
    turnEnd = Math.max(now, timeSource.getAsLong());
  }

  /** Counts the turns: each has a number one higher than the one before. */
  public long turnNumber() {
    now();
    return turnNumber;
  }

  /**
   * Whether there may be input older than {@code maxAgeNanos} that has not been read yet. This is
   * so in a turn that has lasted that long, in the first turn after such a pause and in the turn
   * after that: the first may have been started by a signal with no socket looked at, and the
   * second reads the sockets in no particular order. A task scheduled for later than {@link #now}
   * runs after both.
   */
  public boolean canHaveUnreadInput(long maxAgeNanos) {
    long time = timeSource.getAsLong();
    return pauses.hasPausedInLastTurns(maxAgeNanos, time - now());
  }

  /**
   * The longest recent pause of this process in nanoseconds, 0 if there was none. Its value decays
   * exponentially with a half-life of ten seconds.
   */
  public long recentLongestPauseNanos() {
    return pauses.recentLongest(now);
  }

  /**
   * The earliest time at which input that is read now may have arrived. A client's waiting time
   * counts from when it wrote. What it wrote during a pause was left unread until its end, and what
   * it wrote during a turn until the next one; while the loop waits, input is read as it comes.
   */
  public long earliestArrival() {
    return Math.min(recentPauseStartOrNow(READ_AFTER_PAUSE_NANOS), oldestUnread);
  }

  /** The earliest start of a pause that may have kept a signal from getting here at once. */
  public long recentPauseStartOrNow(long maxAgeNanos) {
    return pauses.startOfPauseWithin(maxAgeNanos, now());
  }
}
