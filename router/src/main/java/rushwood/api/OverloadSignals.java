package rushwood.api;

/**
 * What overload control tells the routing policy: Retry-After times and retry budgets. The policy
 * still chooses which request is rejected, retried or sent. Asked on the thread that calls the
 * policy; {@code now} is a clock time in nanoseconds.
 */
public interface OverloadSignals {
  /**
   * The Retry-After for the client of a request that is rejected now, in nanoseconds, 0 for none.
   *
   * @param othersWaiting whether requests of the same group are waiting for a slot
   */
  long retryAfterNanos(long now, Request request, boolean othersWaiting);

  /**
   * Whether the retry budget of the group allows a retry after an attempt that cost its host work.
   */
  boolean canRetry(long now, GroupId group);

  /**
   * An attempt was sent.
   *
   * @param isCostlyRetry whether it follows an attempt of the same request that cost its host work
   */
  void attemptSent(long now, GroupId group, boolean isCostlyRetry);

  /** Whether the connect backoff allows a new connection to that host now. */
  boolean canConnect(long now, HostId host);

  /**
   * How long an answer may lately have taken to leave the router once its time had come, in
   * nanoseconds: the router gets too little processor time.
   */
  long answerDelayNanos();

  /** Without overload control: the longest Retry-After while others wait, and no budgets. */
  static OverloadSignals withoutOverloadControl(RoutingSettings settings) {
    return new OverloadSignals() {
      @Override
      public long retryAfterNanos(long now, Request request, boolean othersWaiting) {
        return settings.canSendRetryAfter() && othersWaiting ? settings.maxRetryAfterNanos() : 0;
      }

      @Override
      public boolean canRetry(long now, GroupId group) {
        return true;
      }

      @Override
      public void attemptSent(long now, GroupId group, boolean isCostlyRetry) {}

      @Override
      public boolean canConnect(long now, HostId host) {
        return true;
      }

      @Override
      public long answerDelayNanos() {
        return 0;
      }
    };
  }
}
