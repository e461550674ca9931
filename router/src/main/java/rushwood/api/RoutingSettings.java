package rushwood.api;

import java.util.List;

/**
 * The settings that the routing policy reads, decoded once at start.
 *
 * @param routerCount the number of routers that send requests to the same hosts
 * @param subscribesToEndpoints whether the policy has to subscribe to the endpoint list; otherwise
 *     the list and its changes are delivered without a subscription
 * @param laggingReadBehavior what a host does with a read for which it lags too far behind
 * @param hasLoadReports whether hosts send load reports
 * @param tracksSessionWrites whether the router remembers the last write of each session; otherwise
 *     requests carry the time since it, see {@link Request#sinceLastWriteNanos()}
 * @param hasHealthChecks whether hosts answer health checks
 * @param canCancel whether an attempt in flight can be cancelled
 * @param canSendRetryAfter whether clients may be sent a Retry-After time
 * @param maxRetryAfterNanos the longest Retry-After time that clients may be sent
 * @param maxAttempts the maximum number of attempts at a request
 * @param clockResolutionNanos the resolution of the clock, by which timers may fire late
 * @param isRemovalBinding whether a host must not be used once discovery has removed it
 * @param coldStartShare the share of its full capacity that a host has when its process starts
 * @param warmupNanos the time that a host takes from its start to its full capacity
 * @param collapseMultiple the load at which a host that is not warm collapses, as a multiple of its
 *     current capacity
 * @param collapseWindowNanos the time over which the load in {@code collapseMultiple} is measured
 * @param refreshWithinNanos the time within which the endpoint list has to be requested again after
 *     a failure
 */
public record RoutingSettings(
    int routerCount,
    List<RequestClass> requestClasses,
    boolean subscribesToEndpoints,
    LaggingReadBehavior laggingReadBehavior,
    boolean hasLoadReports,
    boolean tracksSessionWrites,
    boolean hasHealthChecks,
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
    /** The host answers with stale data. */
    SERVES,
    /** The host refuses the read. */
    REJECTS,
    /** The host answers once it has caught up. */
    WAITS
  }

  /**
   * Returns a builder with no request classes, hosts that answer with stale data, and every other
   * setting false or 0.
   */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds {@link RoutingSettings}. Each method sets the component of the same name. */
  public static final class Builder {
    private int routerCount;
    private List<RequestClass> requestClasses = List.of();
    private boolean subscribesToEndpoints;
    private LaggingReadBehavior laggingReadBehavior = LaggingReadBehavior.SERVES;
    private boolean hasLoadReports;
    private boolean tracksSessionWrites;
    private boolean hasHealthChecks;
    private boolean canCancel;
    private boolean canSendRetryAfter;
    private long maxRetryAfterNanos;
    private int maxAttempts;
    private long clockResolutionNanos;
    private boolean isRemovalBinding;
    private double coldStartShare;
    private long warmupNanos;
    private double collapseMultiple;
    private long collapseWindowNanos;
    private long refreshWithinNanos;

    private Builder() {}

    /** Sets {@link RoutingSettings#routerCount()}. */
    public Builder routerCount(int value) {
      routerCount = value;
      return this;
    }

    /** Sets {@link RoutingSettings#requestClasses()}. */
    public Builder requestClasses(List<RequestClass> value) {
      requestClasses = value;
      return this;
    }

    /** Sets {@link RoutingSettings#subscribesToEndpoints()}. */
    public Builder subscribesToEndpoints(boolean value) {
      subscribesToEndpoints = value;
      return this;
    }

    /** Sets {@link RoutingSettings#laggingReadBehavior()}. */
    public Builder laggingReadBehavior(LaggingReadBehavior value) {
      laggingReadBehavior = value;
      return this;
    }

    /** Sets {@link RoutingSettings#hasLoadReports()}. */
    public Builder hasLoadReports(boolean value) {
      hasLoadReports = value;
      return this;
    }

    /** Sets {@link RoutingSettings#tracksSessionWrites()}. */
    public Builder tracksSessionWrites(boolean value) {
      tracksSessionWrites = value;
      return this;
    }

    /** Sets {@link RoutingSettings#hasHealthChecks()}. */
    public Builder hasHealthChecks(boolean value) {
      hasHealthChecks = value;
      return this;
    }

    /** Sets {@link RoutingSettings#canCancel()}. */
    public Builder canCancel(boolean value) {
      canCancel = value;
      return this;
    }

    /** Sets {@link RoutingSettings#canSendRetryAfter()}. */
    public Builder canSendRetryAfter(boolean value) {
      canSendRetryAfter = value;
      return this;
    }

    /** Sets {@link RoutingSettings#maxRetryAfterNanos()}. */
    public Builder maxRetryAfterNanos(long value) {
      maxRetryAfterNanos = value;
      return this;
    }

    /** Sets {@link RoutingSettings#maxAttempts()}. */
    public Builder maxAttempts(int value) {
      maxAttempts = value;
      return this;
    }

    /** Sets {@link RoutingSettings#clockResolutionNanos()}. */
    public Builder clockResolutionNanos(long value) {
      clockResolutionNanos = value;
      return this;
    }

    /** Sets {@link RoutingSettings#isRemovalBinding()}. */
    public Builder isRemovalBinding(boolean value) {
      isRemovalBinding = value;
      return this;
    }

    /** Sets {@link RoutingSettings#coldStartShare()}. */
    public Builder coldStartShare(double value) {
      coldStartShare = value;
      return this;
    }

    /** Sets {@link RoutingSettings#warmupNanos()}. */
    public Builder warmupNanos(long value) {
      warmupNanos = value;
      return this;
    }

    /** Sets {@link RoutingSettings#collapseMultiple()}. */
    public Builder collapseMultiple(double value) {
      collapseMultiple = value;
      return this;
    }

    /** Sets {@link RoutingSettings#collapseWindowNanos()}. */
    public Builder collapseWindowNanos(long value) {
      collapseWindowNanos = value;
      return this;
    }

    /** Sets {@link RoutingSettings#refreshWithinNanos()}. */
    public Builder refreshWithinNanos(long value) {
      refreshWithinNanos = value;
      return this;
    }

    /** Returns settings with the values set so far. */
    public RoutingSettings build() {
      return new RoutingSettings(
          routerCount,
          requestClasses,
          subscribesToEndpoints,
          laggingReadBehavior,
          hasLoadReports,
          tracksSessionWrites,
          hasHealthChecks,
          canCancel,
          canSendRetryAfter,
          maxRetryAfterNanos,
          maxAttempts,
          clockResolutionNanos,
          isRemovalBinding,
          coldStartShare,
          warmupNanos,
          collapseMultiple,
          collapseWindowNanos,
          refreshWithinNanos);
    }
  }
}
