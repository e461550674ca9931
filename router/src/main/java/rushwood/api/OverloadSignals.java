package rushwood.api;

/**
 * Advice of overload control to the routing policy: Retry-After times, retry budgets and connect
 * backoff. The policy still chooses which requests are sent, retried or rejected.
 *
 * <p>All methods are called on the thread that calls the policy. {@code now} is a clock time in
 * nanoseconds.
 */
public interface OverloadSignals {
  /**
   * Returns the Retry-After time in nanoseconds for a request that is rejected now, 0 for none.
   * Must be called once for each rejected request, because each call is counted as a rejection and
   * may reserve a time for the client's next try.
   *
   * @param othersWaiting whether other requests of the same group are waiting for a slot
   */
  long retryAfterNanos(long now, Request request, boolean othersWaiting);

  /**
   * Returns whether the retry budget of the group allows a retry after an attempt that cost its
   * host work.
   */
  boolean canRetry(long now, GroupId group);

  /**
   * Records that an attempt was sent.
   *
   * @param isCostlyRetry whether the attempt retries one that cost its host work
   */
  void attemptSent(long now, GroupId group, boolean isCostlyRetry);

  /** Returns whether the connect backoff allows a new connection to the host now. */
  boolean canConnect(long now, HostId host);

  /**
   * Returns by how many nanoseconds timers of the router have run late recently, 0 if not at all. A
   * router that gets too little processor time answers its clients late by as much.
   */
  long answerDelayNanos();

  /**
   * Returns the signals of a router without overload control: the longest Retry-After time while
   * other requests wait, and no limits on retries and connections.
   */
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
