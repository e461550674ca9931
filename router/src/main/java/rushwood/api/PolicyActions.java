package rushwood.api;

/** What a routing policy can have done. Durations are in nanoseconds. */
public interface PolicyActions {
  /**
   * Sends an attempt.
   *
   * @param timeoutNanos the attempt ends as {@link AttemptOutcome#TIMED_OUT} after that time
   * @param startWithinNanos if it cannot be written to the host within that time, it is not sent
   */
  void send(RequestId request, HostId host, long timeoutNanos, long startWithinNanos);

  /** Stops an attempt that is in flight. */
  void cancel(RequestId request, int attemptNumber);

  /**
   * Final answer: the request did not run, and trying again is harmless.
   *
   * @param retryAfterNanos how long the client is told to wait before, 0 for no such hint
   */
  void reject(RequestId request, long retryAfterNanos);

  /** Final answer: whether the request ran is not known. */
  void fail(RequestId request);

  /** Asks a host for a load report; {@link RoutingPolicy#healthCheckFinished} tells the result. */
  void checkHealth(HostId host);

  /** Asks for {@link RoutingPolicy#timerFired} at a clock time; replaces an earlier one. */
  void wakeAt(long time);

  /** Asks for the endpoint list, and for its changes from then on. */
  void subscribeToEndpoints();

  /** Writes a line to the log: what happened, to which host or group, and why. */
  void log(LogLevel level, String line);
}
