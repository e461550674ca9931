package rushwood.policy;

/**
 * Finds attempts whose answer will not come: those that have waited long while many later attempts
 * at the same host were answered. They hold no slot, do not count as slow, and are retried. At a
 * slow host few overtake others. The cost: a long request among short ones may seem lost.
 */
final class LostAnswerDetector {
  private static final double LATE_MULTIPLE = 3; // expected service times: more than a short pause
  private static final int CERTAIN_LOSS_MULTIPLE = 3; // overtaking answers per attempt in flight
  private static final int PROBABLE_LOSS_COUNT = 3; // overtaking answers; one or two may be chance
  private static final double HIGH_LOSS_RATIO = 0.2; // above it, a probable loss is enough
  private static final double LOSS_RATIO_SMOOTHING = 0.05; // the weight of a certain loss
  private static final int ANSWER_WEIGHT_DIVISOR = 20; // an answer weighs this many times less

  /** One attempt in this many waits until its loss is certain, to measure the loss ratio. */
  private static final int CONTROL_SAMPLE_INTERVAL = 4;

  private final PolicyContext context;
  private double lossRatio;

  LostAnswerDetector(PolicyContext context) {
    this.context = context;
  }

  boolean drawControlSample() {
    return context.random().nextInt(CONTROL_SAMPLE_INTERVAL) == 0;
  }

  /** Counts an answer against the attempts that were sent to its host before it. */
  void answerReceived(Attempt answered, long now) {
    lossRatio -= lossRatio * LOSS_RATIO_SMOOTHING / ANSWER_WEIGHT_DIVISOR;
    answered.host.inFlight.countOvertaken(answered);
    check(answered.host, now);
  }

  /** Marks lost attempts and cancels what is hopeless at that host. */
  void check(HostState host, long now) {
    int certainLoss = CERTAIN_LOSS_MULTIPLE * host.inFlight.size();
    int probableLoss = lossRatio > HIGH_LOSS_RATIO ? PROBABLE_LOSS_COUNT : certainLoss;
    for (Attempt attempt : host.inFlight) {
      int threshold = attempt.isControl ? certainLoss : probableLoss;
      if (isLate(attempt, now) && !attempt.isPresumedLost() && attempt.overtakenBy() >= threshold) {
        boolean isCertain = attempt.overtakenBy() >= certainLoss;
        lossRatio += isCertain ? (1 - lossRatio) * LOSS_RATIO_SMOOTHING : 0;
        host.inFlight.presumeLost(attempt);
      }
      if (isHopeless(attempt, now) && !attempt.pending.isFinished()) {
        context.requests().cancelAttempt(attempt.pending);
      }
    }
  }

  private boolean isLate(Attempt attempt, long now) {
    double expected = context.serviceTimes().expected(attempt.pending);
    return now - attempt.sentAt > LATE_MULTIPLE * expected;
  }

  /** Lost with time left for a retry, or late at an unresponsive host; and safe to retry. */
  private boolean isHopeless(Attempt attempt, long now) {
    PendingRequest pending = attempt.pending;
    double retryEnd = now + context.serviceTimes().expected(pending);
    boolean isHopeless =
        (attempt.isPresumedLost() && retryEnd < pending.objectiveDeadline)
            || (attempt.host.health.isUnresponsive() && isLate(attempt, now));
    return isHopeless && (pending.isIdempotent() || pending.hasIdempotencyKey());
  }
}
