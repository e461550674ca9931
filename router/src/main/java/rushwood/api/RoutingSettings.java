package rushwood.api;

import java.util.List;

/** The settings that the decisions read, decoded once at start. Times in nanoseconds. */
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

  /** What a host does with a read that it is too far behind for. */
  public enum LaggingReadBehavior {
    SERVES,
    REJECTS,
    WAITS
  }
}
