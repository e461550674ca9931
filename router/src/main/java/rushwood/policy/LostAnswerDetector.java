package rushwood.policy;

import java.util.random.RandomGenerator;

/**
 * Decides which attempts will not be answered any more. An attempt is late once it has been in
 * flight for several expected service times. A late attempt is presumed lost once several later
 * attempts at the same host have succeeded, that is, once their answers have overtaken it:
 *
 * <ul>
 *   <li>the loss is certain after several overtaking answers for each attempt in flight at the
 *       host;
 *   <li>while the ratio of certain losses is high, a few overtaking answers suffice, which make a
 *       loss probable. A control sample of the attempts is exempt from this, so that the ratio can
 *       be measured.
 * </ul>
 *
 * <p>An attempt that is presumed lost occupies no slot and does not count as slow. It is cancelled
 * so that its request is retried, if a retry is safe and can still be in time. At a host that is
 * merely slow, few answers overtake others; a long request among short ones may be presumed lost by
 * mistake.
 */
final class LostAnswerDetector {
  /**
   * An attempt is late after this many expected service times, which is longer than a short pause
   * of a host.
   */
  private static final double LATE_MULTIPLE = 3;

  /** A loss is certain after this many overtaking answers per attempt in flight at the host. */
  private static final int CERTAIN_LOSS_MULTIPLE = 3;

  /** A loss is probable after this many overtaking answers; one or two may be chance. */
  private static final int PROBABLE_LOSS_COUNT = 3;

  /** The ratio of certain losses above which a probable loss is enough. */
  private static final double HIGH_LOSS_RATIO = 0.2;

  /** The weight of a certain loss in the loss ratio. */
  private static final double LOSS_RATIO_SMOOTHING = 0.05;

  /** A certain loss has this many times the weight of an answer in the loss ratio. */
  private static final int ANSWER_WEIGHT_DIVISOR = 20;

  /** On average, one attempt in this many belongs to the control sample. */
  private static final int CONTROL_SAMPLE_INTERVAL = 4;

  private final RandomGenerator random;
  private final ServiceTimes serviceTimes;
  private final PendingRequests requests;
  private double lossRatio;

  LostAnswerDetector(RandomGenerator random, ServiceTimes serviceTimes, PendingRequests requests) {
    this.random = random;
    this.serviceTimes = serviceTimes;
    this.requests = requests;
  }

  /** Decides at random whether the attempt that is sent now belongs to the control sample. */
  boolean drawControlSample() {
    return random.nextInt(CONTROL_SAMPLE_INTERVAL) == 0;
  }

  /**
   * Counts the answer of a successful attempt for the attempts that were sent to its host earlier,
   * and checks the host for lost answers.
   */
  void answerReceived(Attempt answered, long now) {
    lossRatio -= lossRatio * LOSS_RATIO_SMOOTHING / ANSWER_WEIGHT_DIVISOR;
    answered.host.inFlight.incrementOvertakenCounts(answered);
    check(answered.host, now);
  }

  /**
   * Marks the attempts at a host that are presumed lost, and cancels those whose request should be
   * retried. Called once per check interval, after each successful attempt at the host and when the
   * host is ejected.
   */
  void check(HostState host, long now) {
    int certainLossCount = CERTAIN_LOSS_MULTIPLE * host.inFlight.size();
    int lossCount = lossRatio > HIGH_LOSS_RATIO ? PROBABLE_LOSS_COUNT : certainLossCount;
    for (Attempt attempt : host.inFlight) {
      int threshold = attempt.isControlSample ? certainLossCount : lossCount;
      if (isLate(attempt, now)
          && !attempt.isPresumedLost()
          && attempt.overtakenCount() >= threshold) {
        boolean isCertain = attempt.overtakenCount() >= certainLossCount;
        lossRatio += isCertain ? (1 - lossRatio) * LOSS_RATIO_SMOOTHING : 0;
        host.inFlight.presumeLost(attempt);
      }
      if (shouldCancelForRetry(attempt, now) && !attempt.pending.isFinished()) {
        requests.cancelAttempt(attempt.pending);
      }
    }
  }

  private boolean isLate(Attempt attempt, long now) {
    double expectedNanos = serviceTimes.expectedNanos(attempt.pending);
    return now - attempt.sentAt > LATE_MULTIPLE * expectedNanos;
  }

  /**
   * Returns whether to cancel an attempt so that its request is retried: a retry is safe, and the
   * attempt is presumed lost with time left for a retry, or is late at an unresponsive host.
   */
  private boolean shouldCancelForRetry(Attempt attempt, long now) {
    PendingRequest pending = attempt.pending;
    double retryEnd = now + serviceTimes.expectedNanos(pending);
    boolean canRetryInTime = attempt.isPresumedLost() && retryEnd < pending.objectiveDeadline;
    boolean isLateAtUnresponsiveHost = attempt.host.health.isUnresponsive() && isLate(attempt, now);
    return (canRetryInTime || isLateAtUnresponsiveHost) && RetryPolicy.canRetryAfterCancel(pending);
  }
}
