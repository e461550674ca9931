package rushwood.policy;

import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;

/**
 * Passes the result of an attempt to the components that learn from it, which depend on the order
 * of these calls.
 */
final class AttemptResultRecorder {
  private final ServiceTimes serviceTimes;
  private final SlowStart slowStart;
  private final LostAnswerDetector lostAnswers;
  private final ConcurrencyLimiter limiter;
  private final OutlierDetector outliers;
  private final FreshnessPolicy freshness;
  private final PrimaryTracker primaries;

  AttemptResultRecorder(
      ServiceTimes serviceTimes,
      SlowStart slowStart,
      LostAnswerDetector lostAnswers,
      ConcurrencyLimiter limiter,
      OutlierDetector outliers,
      FreshnessPolicy freshness,
      PrimaryTracker primaries) {
    this.serviceTimes = serviceTimes;
    this.slowStart = slowStart;
    this.lostAnswers = lostAnswers;
    this.limiter = limiter;
    this.outliers = outliers;
    this.freshness = freshness;
    this.primaries = primaries;
  }

  /**
   * Records the result of an attempt and ends it. The components that assess the speed and health
   * of the host come first, while the attempt still counts as in flight there.
   */
  void record(Attempt attempt, AttemptResult result, long now) {
    if (result.outcome() == AttemptOutcome.SUCCESS) {
      serviceTimes.record(attempt.pending, result.durationNanos());
      slowStart.answerReceived(attempt);
      lostAnswers.answerReceived(attempt, now);
    }
    limiter.attemptFinished(attempt, result, now);
    outliers.attemptFinished(attempt, result, now);
    attempt.host.inFlight.remove(attempt);
    attempt.pending.group.endPrimarySearch(attempt.pending);
    freshness.attemptFinished(attempt, result, now);
    primaries.attemptFinished(attempt, result, now);
    RetryPolicy.attemptFinished(attempt, result.outcome());
  }
}
