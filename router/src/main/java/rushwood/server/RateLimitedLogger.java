package rushwood.server;

import org.tinylog.Logger;
import rushwood.dispatch.EventLoopClock;

/** Log lines, so many a second at the most: what floods us must not fill the log. */
final class RateLimitedLogger {
  private static final int MAX_LINES_PER_SECOND =
      20; // a second: more than a calm day writes, few enough to read
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final EventLoopClock clock;
  private long windowStart;
  private int logged;
  private int suppressed;

  RateLimitedLogger(EventLoopClock clock) {
    this.clock = clock;
    windowStart = clock.now();
  }

  void log(String line) {
    if (clock.now() - windowStart >= NANOS_PER_SECOND) {
      if (suppressed > 0) {
        Logger.warn("{} lines were left out", suppressed);
      }
      windowStart = clock.now();
      logged = 0;
      suppressed = 0;
    }
    if (logged < MAX_LINES_PER_SECOND) {
      logged++;
      Logger.info("{}", line);
    } else {
      suppressed++;
    }
  }
}
