package rushwood.policy;

import java.util.random.RandomGenerator;
import rushwood.api.PolicyActions;
import rushwood.api.RoutingSettings;

/**
 * Asks for the endpoint list, where the deployment has one to ask for, and asks again after
 * failures: after delays that double, with jitter so that routers that failed together spread out.
 */
final class EndpointSubscription {
  /** The first delay. */
  private static final long MIN_DELAY_NANOS = 2 * DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;

  /** The longest delay is this part of the time within which a failed request is repeated. */
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

  /** Asks for the list, where the deployment has one to ask for. */
  void start() {
    if (subscribes) {
      actions.subscribeToEndpoints();
    }
  }

  /** A list has come: the next failure is a first one again. */
  void updateReceived() {
    delayNanos = 0;
  }

  /** Plans to ask again, between a half and one and a half of the current delay from now. */
  void refreshFailed(long now) {
    delayNanos = Math.min(Math.max(2 * delayNanos, MIN_DELAY_NANOS), maxDelayNanos);
    retryAt = now + delayNanos / 2 + random.nextLong(delayNanos);
    deadlineQueue.requestTimer(retryAt);
  }

  /** Asks again if that is due. */
  void retryIfDue(long now) {
    if (now >= retryAt) {
      retryAt = NO_RETRY;
      actions.subscribeToEndpoints();
    }
  }

  /** When {@link #retryIfDue} is to be called next; {@code Long.MAX_VALUE} if not at all. */
  long retryAt() {
    return retryAt;
  }
}
