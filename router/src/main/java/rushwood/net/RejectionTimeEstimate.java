package rushwood.net;

/**
 * Estimates the time that this process needs to reject a request that waits behind others of its
 * client. Until such a request was rejected, the estimate is the time to submit a request, which
 * takes longer. It is the average over recent requests, so it follows the load of the machine, and
 * one pause of the process hardly changes it.
 */
final class RejectionTimeEstimate {
  /** Half of the average stems from the last 44 requests. */
  private static final double WEIGHT_OF_ONE_REQUEST = 1.0 / 64;

  private double averageNanos;
  private boolean isEmpty = true;

  /**
   * Records that requests were submitted or rejected.
   *
   * @param count the number of requests, at least 1
   * @param nanos the time in nanoseconds that all of them took
   */
  void record(int count, long nanos) {
    double nanosEach = (double) nanos / count;
    double weight = isEmpty ? 1 : 1 - Math.pow(1 - WEIGHT_OF_ONE_REQUEST, count);
    averageNanos += weight * (nanosEach - averageNanos);
    isEmpty = false;
  }

  /** Returns the time in nanoseconds to reject as many requests, 0 if nothing was recorded. */
  long nanosToReject(int count) {
    return (long) (count * averageNanos);
  }
}
