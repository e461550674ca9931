package rushwood.policy;

import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.OverloadSignals;
import rushwood.api.Request;
import rushwood.api.RoutingSettings;

/** Signals that a test sets; by default those of a router without overload control. */
final class AdjustableOverloadSignals implements OverloadSignals {
  private final OverloadSignals defaults;
  long answerDelayNanos;
  boolean canConnect = true;
  boolean canRetry = true;

  AdjustableOverloadSignals(RoutingSettings settings) {
    defaults = OverloadSignals.withoutOverloadControl(settings);
  }

  @Override
  public long retryAfterNanos(long now, Request request, boolean othersWaiting) {
    return defaults.retryAfterNanos(now, request, othersWaiting);
  }

  @Override
  public boolean canRetry(long now, GroupId group) {
    return canRetry;
  }

  @Override
  public void attemptSent(long now, GroupId group, boolean isCostlyRetry) {}

  @Override
  public boolean canConnect(long now, HostId host) {
    return canConnect;
  }

  @Override
  public long answerDelayNanos() {
    return answerDelayNanos;
  }
}
