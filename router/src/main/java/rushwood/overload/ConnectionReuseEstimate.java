package rushwood.overload;

/**
 * Estimates the share of requests that arrive on a reused connection: an exponentially weighted
 * moving average over the requests, with an initial value of 1.
 */
final class ConnectionReuseEstimate {
  // Below this share most clients send one request and then leave the connection open unused.
  private static final double MIN_REUSE_SHARE = 0.5;
  // The weight of the latest request: the average covers about fifty requests.
  private static final double SMOOTHING_WEIGHT = 0.02;

  private double reuseShare = 1;

  /**
   * Records the arrival of a request.
   *
   * @param onReusedConnection whether an earlier request came on the same connection
   */
  void recordRequest(boolean onReusedConnection) {
    reuseShare += ((onReusedConnection ? 1 : 0) - reuseShare) * SMOOTHING_WEIGHT;
  }

  boolean isReuseRare() {
    return reuseShare < MIN_REUSE_SHARE;
  }
}
