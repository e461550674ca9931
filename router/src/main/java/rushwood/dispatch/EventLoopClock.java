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

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long BEFORE_FIRST_TURN = Long.MIN_VALUE;

  private final LongSupplier timeSource;
  private final Consumer<Runnable> runAtTurnEnd;
  private final PauseDetector pauses = new PauseDetector();
  private long now = BEFORE_FIRST_TURN;
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
      runAtTurnEnd.accept(() -> isCurrent = false);
    }
    return now;
  }

  private void startTurn(long time) {
    pauses.turnStarted(now == BEFORE_FIRST_TURN ? time : now, time);
    now = time;
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
  public long recentLongestPause() {
    return pauses.recentLongest(now);
  }

  /**
   * The earliest time at which input that is read now may have arrived. A client's waiting time
   * counts from when it wrote, and what it wrote during a pause was left unread until its end.
   */
  public long earliestArrival() {
    return earliestArrival(READ_AFTER_PAUSE_NANOS);
  }

  /** Like {@link #earliestArrival()}, for input that takes up to {@code delayNanos} to get here. */
  public long earliestArrival(long delayNanos) {
    return pauses.startOfPauseWithin(delayNanos, now());
  }
}
