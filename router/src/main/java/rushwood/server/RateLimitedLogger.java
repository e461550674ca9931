package rushwood.server;

import org.tinylog.Logger;
import rushwood.api.LogLevel;
import rushwood.dispatch.EventLoopClock;

/**
 * A logger with a limit on lines per second, so that a flood of events does not fill the disk. Used
 * on the event loop only.
 */
final class RateLimitedLogger {
  private static final long WINDOW_NANOS = 1_000_000_000L;

  /** More than a router logs in a second of normal service, but few enough to read. */
  private static final int MAX_LINES_PER_WINDOW = 20;

  private final EventLoopClock clock;
  private long windowStart;
  private int loggedLines;
  private int suppressedLines;

  RateLimitedLogger(EventLoopClock clock) {
    this.clock = clock;
    windowStart = clock.now();
  }

  /** Logs a line, or counts it as suppressed if the limit is reached. */
  void log(LogLevel level, String line) {
    if (clock.now() - windowStart >= WINDOW_NANOS) {
      startWindow();
    }
    if (loggedLines < MAX_LINES_PER_WINDOW) {
      loggedLines++;
      write(level, line);
    } else {
      suppressedLines++;
    }
  }

  private static void write(LogLevel level, String line) {
    switch (level) {
      case INFO -> Logger.info("{}", line);
      case WARN -> Logger.warn("{}", line);
      case ERROR -> Logger.error("{}", line);
    }
  }

  private void startWindow() {
    if (suppressedLines > 0) {
      Logger.warn(
          "suppressed {} log lines: more than {} in one second",
          suppressedLines,
          MAX_LINES_PER_WINDOW);
    }
    windowStart = clock.now();
    loggedLines = 0;
    suppressedLines = 0;
  }
}
