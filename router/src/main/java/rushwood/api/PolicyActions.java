package rushwood.api;

/**
 * What a routing policy can order. A policy calls these methods on the thread that calls the policy
 * and only from within such a call; no method calls the policy back before it returns. Durations
 * are in nanoseconds.
 */
public interface PolicyActions {
  /**
   * Sends an attempt at a request to a host; {@link RoutingPolicy#attemptFinished} reports its end.
   *
   * @param timeoutNanos the attempt ends as {@link AttemptOutcome#TIMED_OUT} after that time
   * @param startWithinNanos if it cannot be written to the host within that time, it ends as {@link
   *     AttemptOutcome#NOT_SENT}
   */
  void send(RequestId request, HostId host, long timeoutNanos, long startWithinNanos);

  /**
   * Stops an attempt that is in flight; it still ends with {@link RoutingPolicy#attemptFinished}.
   *
   * @param attemptNumber the number of the attempt among those of its request, from 0
   */
  void cancel(RequestId request, int attemptNumber);

  /**
   * Gives the final answer that trying again is harmless: the request ran nowhere, or is
   * idempotent.
   *
   * @param retryAfterNanos how long the client is told to wait before, 0 for no such hint
   */
  void reject(RequestId request, long retryAfterNanos);

  /** Gives the final answer that leaves open whether the request ran. */
  void fail(RequestId request);

  /** Asks a host for a load report; {@link RoutingPolicy#healthCheckFinished} has the result. */
  void checkHealth(HostId host);

  /** Asks for {@link RoutingPolicy#timerFired} at a clock time; replaces an earlier one. */
  void wakeAt(long time);

  /** Asks for the endpoint list, and for its changes from then on. */
  void subscribeToEndpoints();

  /** Writes a line to the log: what happened, to which host or group, and why. */
  void log(LogLevel level, String line);
}
