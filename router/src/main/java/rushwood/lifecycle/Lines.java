package rushwood.lifecycle;

import org.tinylog.Logger;
import rushwood.dispatch.EventLoopClock;

/** Log lines, so many a second at the most: what floods us must not fill the log. */
final class Lines {
  private static final int MOST = 20; // a second: more than a calm day writes, few enough to read
  private static final long SECOND = 1_000_000_000L;

  private final EventLoopClock clock;
  private long since;
  private int said;
  private int unsaid;

  Lines(EventLoopClock clock) {
    this.clock = clock;
    since = clock.now();
  }

  void say(String line) {
    if (clock.now() - since >= SECOND) {
      if (unsaid > 0) {
        Logger.warn("{} lines were left out", unsaid);
      }
      since = clock.now();
      said = 0;
      unsaid = 0;
    }
    if (said < MOST) {
      said++;
      Logger.info("{}", line);
    } else {
      unsaid++;
    }
  }
}
