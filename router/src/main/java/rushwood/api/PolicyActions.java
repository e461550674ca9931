package rushwood.api;

/** What the decisions can have done. */
public interface PolicyActions {
  /**
   * An attempt that ends after {@code timeOut}, and may not begin any more after {@code
   * beginWithin} nanoseconds.
   */
  void send(RequestId request, HostId host, long timeoutNanos, long startWithinNanos);

  void cancel(RequestId request, int attemptNumber);

  /** Final: trying again is harmless, after {@code advice} if positive. */
  void reject(RequestId request, long retryAfterNanos);

  /** Final: no promise. */
  void fail(RequestId request);

  void probe(HostId host);

  void wakeAt(long time);

  void subscribeToEndpoints();

  void log(String line);
}
