package rushwood.state;

import java.time.Instant;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Unix time in nanoseconds that never goes back, read once a turn of the event loop. */
public final class Clock {
  /** The longest that a turn is to be away: who makes a clock sees to a turn this often. */
  public static final long BEAT = 20_000_000;

  private static final long FORGETS =
      10_000_000_000L; // half of the longest pause is forgotten in so long
  private static final long PAUSE =
      40_000_000; // between turns: twice the beat that keeps them coming
  private static final long SETTLE =
      20_000_000; // after a pause, until what came in it has been read

  private final LongSupplier source;
  private final Consumer<Runnable> atTurnEnd;
  private long now = Long.MIN_VALUE;
  private long pausedFrom;
  private long pausedTo = Long.MIN_VALUE;
  private long longest; // pause, as of its end
  private boolean read;
  private long gap; // between this turn and the one before
  private long lastGap; // and between that one and its own

  /** With a source of monotonic Unix time, and what runs a task when the turn ends. */
  public Clock(LongSupplier source, Consumer<Runnable> atTurnEnd) {
    this.source = source;
    this.atTurnEnd = atTurnEnd;
  }

  /** Unix time as of now, carried on by the monotonic clock. */
  public static Clock system(Consumer<Runnable> atTurnEnd) {
    Instant start = Instant.now();
    long zero = start.getEpochSecond() * 1_000_000_000L + start.getNano() - System.nanoTime();
    return new Clock(() -> zero + System.nanoTime(), atTurnEnd);
  }

  public long now() {
    if (!read) {
      read = true;
      turn(Math.max(now, source.getAsLong()));
      atTurnEnd.accept(() -> read = false);
    }
    return now;
  }

  private void turn(long next) {
    lastGap = gap;
    gap = now == Long.MIN_VALUE ? 0 : next - now;
    if (gap > PAUSE) {
      longest = Math.max(gap, longestPause());
      pausedFrom = now;
      pausedTo = next;
    }
    now = next;
  }

  /**
   * Whether what was read before this turn may be older than {@code limit}: after such a pause, in
   * a turn that has lasted that long itself, and in the turn after either. For a wait that a signal
   * ends, as one that let the process go on, is over with no socket looked at, and only the next
   * turn reads them, in no order. What is due later than now is done when those of its turn have
   * been read.
   */
  public boolean isStale(long limit) {
    long most = Math.max(PAUSE, limit);
    return source.getAsLong() - now() > most || Math.max(gap, lastGap) > most;
  }

  /**
   * How long this process has stood still lately at the longest; what is past counts for less and
   * less.
   */
  public long longestPause() {
    return longest == 0 ? 0 : (long) (longest * Math.pow(0.5, (double) (now - pausedTo) / FORGETS));
  }

  /**
   * When what is read now may have come at the earliest: the time that a client waits counts from
   * when it wrote, and what it wrote while this process stood still has waited unread.
   */
  public long cameAt() {
    return cameAt(SETTLE);
  }

  /**
   * The same for what takes up to {@code settle} from a pause's end to get here, as a signal does.
   */
  public long cameAt(long settle) {
    return now() <= pausedTo + settle ? pausedFrom : now;
  }
}
