package rushwood.api;

/**
 * The actions that a routing policy can take.
 *
 * <p>A policy calls these methods only while it handles an event of {@link RoutingPolicy}, on the
 * thread that delivered the event. No method calls the policy back before it returns.
 */
public interface PolicyActions {
  /**
   * Sends an attempt at a request to a host; {@link RoutingPolicy#attemptFinished} reports its
   * result.
   *
   * @param timeoutNanos the time after which an attempt without an answer ends as {@link
   *     AttemptOutcome#TIMED_OUT}
   * @param startWithinNanos the time after which an attempt that could not be written to the host
   *     ends as {@link AttemptOutcome#NOT_SENT}
   */
  void send(RequestId request, HostId host, long timeoutNanos, long startWithinNanos);

  /**
   * Cancels an attempt that is in flight. Its result is still reported to {@link
   * RoutingPolicy#attemptFinished}. Allowed only with {@link RoutingSettings#canCancel()}.
   *
   * @param attemptNumber the number of the attempt among the attempts of its request, from 0
   */
  void cancel(RequestId request, int attemptNumber);

  /**
   * Sends the client the final answer that trying again is harmless, because no host ran the
   * request or because it is idempotent.
   *
   * @param retryAfterNanos the Retry-After time to send to the client, 0 for none
   */
  void reject(RequestId request, long retryAfterNanos);

  /** Sends the client the final answer that leaves open whether a host ran the request. */
  void fail(RequestId request);

  /** Starts a health check; {@link RoutingPolicy#healthCheckFinished} reports its result. */
  void checkHealth(HostId host);

  /**
   * Schedules a call of {@link RoutingPolicy#timerFired}, in place of any that is still scheduled.
   *
   * @param time the clock time of the call, in nanoseconds
   */
  void wakeAt(long time);

  /** Requests the endpoint list and, from then on, its changes. */
  void subscribeToEndpoints();

  /** Writes a line to the log: what happened, to which host or group, and why. */
  void log(LogLevel level, String line);
}
