package rushwood.policy;

import java.util.random.RandomGenerator;
import rushwood.api.PolicyActions;
import rushwood.api.RoutingSettings;

/**
 * Subscribes to the endpoint list if the settings require it, and again after each failure. The
 * retry delay doubles with each failure in a row and has jitter, so that routers that failed
 * together do not retry together.
 */
final class EndpointSubscription {
  /** The first retry delay. */
  private static final long MIN_DELAY_NANOS = 2 * DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;

  /**
   * The longest retry delay, before jitter, is {@link RoutingSettings#refreshWithinNanos} divided
   * by this.
   */
  private static final int MAX_DELAY_DIVISOR = 4;

  private static final long NO_RETRY = Long.MAX_VALUE;

  private final boolean subscribes;
  private final long maxDelayNanos;
  private final RandomGenerator random;
  private final PolicyActions actions;
  private final DeadlineQueue deadlineQueue;
  private long delayNanos;
  private long retryAt = NO_RETRY;

  EndpointSubscription(
      RoutingSettings settings,
      RandomGenerator random,
      PolicyActions actions,
      DeadlineQueue deadlineQueue) {
    subscribes = settings.subscribesToEndpoints();
    maxDelayNanos = settings.refreshWithinNanos() / MAX_DELAY_DIVISOR;
    this.random = random;
    this.actions = actions;
    this.deadlineQueue = deadlineQueue;
  }

  /** Subscribes to the endpoint list if the settings require it. */
  void start() {
    if (subscribes) {
      actions.subscribeToEndpoints();
    }
  }

  /** Resets the retry delay, since an update was received. */
  void updateReceived() {
    delayNanos = 0;
  }

  /** Schedules a retry, 0.5 to 1.5 times the current delay from now. */
  void refreshFailed(long now) {
    delayNanos = Math.min(Math.max(2 * delayNanos, MIN_DELAY_NANOS), maxDelayNanos);
    retryAt = now + delayNanos / 2 + random.nextLong(delayNanos);
    deadlineQueue.requestTimer(retryAt);
  }

  /** Subscribes again if a retry is due. */
  void retryIfDue(long now) {
    if (now >= retryAt) {
      retryAt = NO_RETRY;
      actions.subscribeToEndpoints();
    }
  }

  /**
   * Returns when {@link #retryIfDue} has to be called next; {@code Long.MAX_VALUE} if no retry is
   * scheduled.
   */
  long retryAt() {
    return retryAt;
  }
}
