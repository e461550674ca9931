package rushwood.overload;

import java.util.function.LongSupplier;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.OverloadSignals;
import rushwood.api.Request;

/**
 * Answers the routing policy from the overload statistics, and records its rejections and attempts.
 */
final class OverloadControlSignals implements OverloadSignals {
  private final OverloadStatistics statistics;
  private final RetryAfterAdvisor retryAfterAdvisor;
  private final ConnectBackoff connectBackoff;
  private final OverloadCounts counts;
  private final LongSupplier answerDelayNanos;

  OverloadControlSignals(
      OverloadStatistics statistics,
      RetryAfterAdvisor retryAfterAdvisor,
      ConnectBackoff connectBackoff,
      OverloadCounts counts,
      LongSupplier answerDelayNanos) {
    this.statistics = statistics;
    this.retryAfterAdvisor = retryAfterAdvisor;
    this.connectBackoff = connectBackoff;
    this.counts = counts;
    this.answerDelayNanos = answerDelayNanos;
  }

  @Override
  public long retryAfterNanos(long now, Request request, boolean othersWaiting) {
    statistics.recordRejected(request.group());
    return retryAfterAdvisor.adviseRejected(now, request, othersWaiting);
  }

  @Override
  public boolean canRetry(long now, GroupId group) {
    boolean isAllowed = statistics.isRetryAllowed(now, group);
    if (!isAllowed) {
      counts.addRetryDenied();
    }
    return isAllowed;
  }

  @Override
  public void attemptSent(long now, GroupId group, boolean isCostlyRetry) {
    statistics.recordAttempt(now, group, isCostlyRetry);
  }

  @Override
  public boolean canConnect(long now, HostId host) {
    return connectBackoff.isAttemptAllowed(host, now);
  }

  @Override
  public long answerDelayNanos() {
    return answerDelayNanos.getAsLong();
  }
}
