package rushwood.policy;

import java.util.random.RandomGenerator;

/**
 * Decides which attempts will not be answered any more. An attempt is presumed lost once it is
 * late, that is, has waited for several expected service times, and has been overtaken by several
 * answers to later attempts at the same host:
 *
 * <ul>
 *   <li>by so many for each attempt in flight there that the loss is certain;
 *   <li>while many losses were certain lately, by a few, which make a loss probable; this does not
 *       hold for the control sample, which measures the ratio of certain losses.
 * </ul>
 *
 * <p>Such an attempt holds no slot and does not count as slow. It is cancelled, so that its request
 * is retried, if a retry can still be in time and is safe. At a host that is merely slow few
 * answers overtake others; a long request among short ones may seem lost.
 */
final class LostAnswerDetector {
  /** An attempt is late after that many expected service times: more than a short pause. */
  private static final double LATE_MULTIPLE = 3;

  /** A loss is certain after that many overtaking answers per attempt in flight at the host. */
  private static final int CERTAIN_LOSS_MULTIPLE = 3;

  /** A loss is probable after that many overtaking answers; one or two may be chance. */
  private static final int PROBABLE_LOSS_COUNT = 3;

  /** Above this ratio of certain losses, a probable loss is enough. */
  private static final double HIGH_LOSS_RATIO = 0.2;

  /** The weight of a certain loss in the loss ratio. */
  private static final double LOSS_RATIO_SMOOTHING = 0.05;

  /** An answer weighs this many times less in the loss ratio than a certain loss. */
  private static final int ANSWER_WEIGHT_DIVISOR = 20;

  /** One attempt in this many waits until its loss is certain, to measure the loss ratio. */
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

  /** Whether an attempt that is sent now is a control sample. */
  boolean drawControlSample() {
    return random.nextInt(CONTROL_SAMPLE_INTERVAL) == 0;
  }

  /** Counts an answer against the attempts that were sent to its host before it. */
  void answerReceived(Attempt answered, long now) {
    lossRatio -= lossRatio * LOSS_RATIO_SMOOTHING / ANSWER_WEIGHT_DIVISOR;
    answered.host.inFlight.incrementOvertakenCounts(answered);
    check(answered.host, now);
  }

  /**
   * Marks the attempts at that host that are lost, and cancels those that are better retried;
   * called once a check interval, after each answer of the host and when it is ejected.
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

  /** Lost with time left for a retry, or late at an unresponsive host; and safe to retry. */
  private boolean shouldCancelForRetry(Attempt attempt, long now) {
    PendingRequest pending = attempt.pending;
    double retryEnd = now + serviceTimes.expectedNanos(pending);
    boolean canRetryInTime = attempt.isPresumedLost() && retryEnd < pending.objectiveDeadline;
    boolean isStuck = attempt.host.health.isUnresponsive() && isLate(attempt, now);
    return (canRetryInTime || isStuck) && RetryPolicy.canRetryAfterCancel(pending);
  }
}
