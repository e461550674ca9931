package rushwood.api;

import java.util.List;

/**
 * The settings that the routing policy reads, decoded once at start.
 *
 * @param routerCount how many routers serve the same hosts
 * @param subscribesToEndpoints whether the router has to subscribe to the endpoint list itself
 * @param hasLoadReports whether hosts report positions and roles
 * @param tracksSessionWrites whether the router, not the client, remembers a session's last write
 * @param hasHealthChecks whether hosts answer health checks
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
    /** It answers with stale data. */
    SERVES,
    /** It rejects the read. */
    REJECTS,
    /** It lets the read wait until it has caught up. */
    WAITS
  }

  /** Starts with nothing allowed, no classes and zero everywhere. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the settings by name; each method sets the component of that name. */
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

    /** Creates the settings. */
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
