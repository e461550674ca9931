package rushwood.api;

/**
 * What the decisions are told of crowds: the waits to tell, the budgets to obey. They still choose
 * what they apply to.
 */
public interface OverloadSignals {
  /**
   * The wait to tell the client of an access that is turned back now, 0 for none; {@code crowded}:
   * others wait here.
   */
  long retryAfterNanos(long now, Request request, boolean othersWaiting);

  /**
   * Whether a further shot, after one that cost its host something, keeps within what repeats may
   * cost.
   */
  boolean canRetry(long now, GroupId group);

  /** A shot was sent; {@code further}: after one of that access that cost its host something. */
  void attemptSent(long now, GroupId group, boolean retry);

  /** Whether a host that is down may be tried although no probe has found it up. */
  boolean canConnect(long now, HostId host);

  /** No figures: the longest wait while others wait, no budgets. */
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
      public void attemptSent(long now, GroupId group, boolean retry) {}

      @Override
      public boolean canConnect(long now, HostId host) {
        return true;
      }
    };
  }
}
