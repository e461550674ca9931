package rushwood.server;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import rushwood.api.LogLevel;
import rushwood.dispatch.EventLoopClock;

/**
 * Reports long turns of the event loop. While a turn lasts, no timer fires and no socket is read. A
 * turn also counts as long if the process was suspended during it. Used on the event loop only.
 */
final class StallReporter {
  /** No timer of the router allows for more lateness. */
  private static final long LONG_TURN_NANOS = 250_000_000L;

  private final EventLoopClock clock;
  private final LongSupplier directMemoryBytes;
  private final RateLimitedLogger logger;
  private long longestTurnNanos;

  /**
   * Creates a reporter.
   *
   * @param directMemoryBytes supplies the number of bytes of direct memory in use
   */
  StallReporter(EventLoopClock clock, LongSupplier directMemoryBytes, RateLimitedLogger logger) {
    this.clock = clock;
    this.directMemoryBytes = directMemoryBytes;
    this.logger = logger;
  }

  /** Logs a line if a turn since the last call was long. Called several times a second. */
  void check() {
    long turnNanos = clock.takeLongestTurnNanos();
    longestTurnNanos = Math.max(longestTurnNanos, turnNanos);
    if (turnNanos > LONG_TURN_NANOS) {
      logger.log(
          LogLevel.WARN,
          "event loop stalled for "
              + TimeUnit.NANOSECONDS.toMillis(turnNanos)
              + " ms, direct memory in use: "
              + directMemoryBytes.getAsLong()
              + " bytes");
    }
  }

  /** Returns the length of the longest turn since the start, in milliseconds. */
  long longestTurnMillis() {
    return TimeUnit.NANOSECONDS.toMillis(longestTurnNanos);
  }
}
