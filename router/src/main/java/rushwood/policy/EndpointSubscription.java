package rushwood.policy;

/**
 * Asks for the endpoint list, and asks again after failures: after delays that double, with jitter
 * so that routers that failed together spread out.
 */
final class EndpointSubscription {
  private static final long NOT_PLANNED = Long.MAX_VALUE;

  private final PolicyContext context;
  private final long minDelayNanos;
  private final long maxDelayNanos;
  private long delayNanos;
  private long retryAt = NOT_PLANNED;

  EndpointSubscription(PolicyContext context, long minDelayNanos, long maxDelayNanos) {
    this.context = context;
    this.minDelayNanos = minDelayNanos;
    this.maxDelayNanos = maxDelayNanos;
  }

  /** Asks for the list, where the deployment has one to ask for. */
  void start() {
    if (context.settings().subscribesToEndpoints()) {
      context.actions().subscribeToEndpoints();
    }
  }

  /** A list has come: the next failure is a first one again. */
  void updateReceived() {
    delayNanos = 0;
  }

  /** Plans to ask again, between a half and one and a half of the current delay from now. */
  void failed(long now) {
    delayNanos = Math.min(Math.max(2 * delayNanos, minDelayNanos), maxDelayNanos);
    retryAt = now + delayNanos / 2 + context.random().nextLong(delayNanos);
    context.deadlineQueue().requestTimer(retryAt);
  }

  void retryIfDue(long now) {
    if (now >= retryAt) {
      retryAt = NOT_PLANNED;
      context.actions().subscribeToEndpoints();
    }
  }

  /** When {@link #retryIfDue} is to be called next; {@code Long.MAX_VALUE} if not at all. */
  long retryAt() {
    return retryAt;
  }
}
