package rushwood.overload;

import rushwood.api.Request;
import rushwood.api.RoutingSettings;

/**
 * Recognises requests that repeat one which ended without an answer.
 *
 * <p>A request is a repeat if both hold:
 *
 * <ul>
 *   <li>A request of its fingerprint ended without an answer lately: within twice the longest
 *       latency objective and the longest Retry-After time.
 *   <li>More requests of its group ended without an answer than were repeated since. The first
 *       condition alone also holds for requests of other clients with the same fingerprint, of
 *       which there are many where keys are few.
 * </ul>
 */
final class RepeatDetector {
  // 128 KiB in all, for some 5,000 unanswered requests within one delay.
  private static final int SKETCH_CELLS_PER_ROW = 1 << 14;

  private final RepeatSketch unansweredSketch;
  private final OverloadStatistics statistics;
  private final OverloadCounts counts;

  RepeatDetector(RoutingSettings settings, OverloadStatistics statistics, OverloadCounts counts) {
    unansweredSketch = new RepeatSketch(SKETCH_CELLS_PER_ROW, longestRepeatDelayNanos(settings));
    this.statistics = statistics;
    this.counts = counts;
  }

  /** How long after the end of a request without an answer its client may repeat it. */
  private static long longestRepeatDelayNanos(RoutingSettings settings) {
    long longestNanos =
        settings.requestClasses().stream()
            .mapToLong(requestClass -> 2 * requestClass.latencyObjectiveNanos())
            .max()
            .orElse(1);
    return longestNanos + settings.maxRetryAfterNanos();
  }

  /** A request ended without an answer: its client may repeat it. */
  void recordUnanswered(long now, Request request) {
    unansweredSketch.add(request.fingerprint(), now);
    statistics.recordUnanswered(request.group());
  }

  /** Whether a request of the same fingerprint ended without an answer lately. */
  boolean isPossibleRepeat(long now, Request request) {
    return request.hasFingerprint() && unansweredSketch.count(request.fingerprint(), now) > 0;
  }

  /**
   * Whether a {@linkplain #isPossibleRepeat possible} repeat is one: then the group expects one
   * repeat less. To be asked once for each request.
   */
  boolean confirmRepeat(Request request) {
    boolean isRepeat = statistics.takeUnanswered(request.group());
    if (isRepeat) {
      counts.addRepeatedRequest();
    }
    return isRepeat;
  }
}
