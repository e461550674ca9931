package rushwood.overload;

/**
 * Estimates which share of the requests comes on a connection that had one before: an exponentially
 * weighted average over the requests, which begins with all of them.
 */
final class ConnectionReuseEstimate {
  // Below this share most clients send one request and keep the connection without using it.
  private static final double MIN_REUSE_SHARE = 0.5;
  // Weight of the latest request: about fifty requests count.
  private static final double SMOOTHING_WEIGHT = 0.02;

  private double reuseShare = 1;

  /** A request arrived; {@code onUsedConnection} unless it is the first on its connection. */
  void recordRequest(boolean onUsedConnection) {
    reuseShare += ((onUsedConnection ? 1 : 0) - reuseShare) * SMOOTHING_WEIGHT;
  }

  boolean isReuseRare() {
    return reuseShare < MIN_REUSE_SHARE;
  }
}
