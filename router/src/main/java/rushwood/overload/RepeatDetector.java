package rushwood.overload;

import rushwood.api.Request;
import rushwood.api.RoutingSettings;

/**
 * Recognises requests that repeat an unanswered one.
 *
 * <p>A request counts as a repeat if both conditions hold:
 *
 * <ul>
 *   <li>A request of the same fingerprint recently ended without an answer. The {@link
 *       RepeatSketch} remembers it at least for twice the longest latency objective plus the
 *       longest Retry-After time.
 *   <li>More requests of its group have ended without an answer than have been repeated since. The
 *       first condition alone also holds for requests of other clients that have the same
 *       fingerprint, which are frequent if there are few keys.
 * </ul>
 */
final class RepeatDetector {
  // 128 KiB in all; enough for about 5,000 unanswered requests within the longest repeat delay.
  private static final int SKETCH_CELLS_PER_ROW = 1 << 14;

  private final RepeatSketch unansweredSketch;
  private final OverloadStatistics statistics;
  private final OverloadCounts counts;

  RepeatDetector(RoutingSettings settings, OverloadStatistics statistics, OverloadCounts counts) {
    unansweredSketch = new RepeatSketch(SKETCH_CELLS_PER_ROW, longestRepeatDelayNanos(settings));
    this.statistics = statistics;
    this.counts = counts;
  }

  /** Returns how long after an unanswered request its client may be expected to repeat it. */
  private static long longestRepeatDelayNanos(RoutingSettings settings) {
    long longestNanos =
        settings.requestClasses().stream()
            .mapToLong(requestClass -> 2 * requestClass.latencyObjectiveNanos())
            .max()
            .orElse(1);
    return longestNanos + settings.maxRetryAfterNanos();
  }

  /** Records that a request ended without an answer, so that its client may repeat it. */
  void recordUnanswered(long now, Request request) {
    unansweredSketch.add(request.fingerprint(), now);
    statistics.recordUnanswered(request.group());
  }

  /** Returns whether a request of the same fingerprint recently ended without an answer. */
  boolean isPossibleRepeat(long now, Request request) {
    return request.hasFingerprint() && unansweredSketch.count(request.fingerprint(), now) > 0;
  }

  /**
   * Returns whether a {@linkplain #isPossibleRepeat possible} repeat counts as a repeat; if so, its
   * group expects one repeat less. Call this at most once per request.
   */
  boolean confirmRepeat(Request request) {
    boolean isRepeat = statistics.takeUnanswered(request.group());
    if (isRepeat) {
      counts.addRepeatedRequest();
    }
    return isRepeat;
  }
}
