package rushwood.api;

import java.util.List;

/**
 * The settings that the routing policy reads, decoded once at start.
 *
 * @param routerCount how many routers serve the same hosts
 * @param subscribesToEndpoints whether the router has to subscribe to the endpoint list itself
 * @param hasLoadReports whether hosts report positions and roles
 * @param tracksSessionWrites whether the router, not the client, remembers a session's last write
 * @param canProbe whether hosts answer probes
 * @param canCancel whether hosts can be told to stop an attempt
 * @param canSendRetryAfter whether rejected clients may be told when to come back
 * @param maxRetryAfterNanos the longest that they may be told to wait
 * @param maxAttempts the most attempts of one request
 * @param clockResolutionNanos how late timers may fire
 * @param isRemovalBinding whether a host that discovery removes may not be used any more
 * @param coldStartShare the share of its capacity that a host has right after it started
 * @param warmupNanos how long a host takes to reach its full capacity
 * @param collapseMultiple the multiple of its current capacity at which a cold host collapses
 * @param collapseWindowNanos the time over which that load is measured
 * @param refreshWithinNanos within which time a failed request for the endpoint list is repeated
 */
public record RoutingSettings(
    int routerCount,
    List<RequestClass> requestClasses,
    boolean subscribesToEndpoints,
    LaggingReadBehavior laggingReadBehavior,
    boolean hasLoadReports,
    boolean tracksSessionWrites,
    boolean canProbe,
    boolean canCancel,
    boolean canSendRetryAfter,
    long maxRetryAfterNanos,
    int maxAttempts,
    long clockResolutionNanos,
    boolean isRemovalBinding,
    double coldStartShare,
    long warmupNanos,
    double collapseMultiple,
    long collapseWindowNanos,
    long refreshWithinNanos) {

  /** What a host does with a read for which it lags too far behind. */
  public enum LaggingReadBehavior {
    /** It answers with stale data. */
    SERVES,
    /** It rejects the read. */
    REJECTS,
    /** It lets the read wait until it has caught up. */
    WAITS
  }
}
