package rushwood.server;

import io.netty.buffer.ByteBufAllocatorMetric;
import java.util.concurrent.TimeUnit;
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
  private final ByteBufAllocatorMetric bufferMetric;
  private final RateLimitedLogger logger;
  private long longestTurnNanos;

  /**
   * Creates a reporter.
   *
   * @param bufferMetric tells how much direct memory the buffers use
   */
  StallReporter(
      EventLoopClock clock, ByteBufAllocatorMetric bufferMetric, RateLimitedLogger logger) {
    this.clock = clock;
    this.bufferMetric = bufferMetric;
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
              + bufferMetric.usedDirectMemory()
              + " bytes");
    }
  }

  /** Returns the length of the longest turn since the start, in milliseconds. */
  long longestTurnMillis() {
    return TimeUnit.NANOSECONDS.toMillis(longestTurnNanos);
  }
}
