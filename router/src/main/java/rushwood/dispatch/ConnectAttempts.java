package rushwood.dispatch;

import rushwood.api.HostId;
import rushwood.overload.ConnectBackoff;

/**
 * Tracks connections to hosts that are being established: checks whether one may be opened, limits
 * the time it may take, and reports its result to the connect backoff and the counters.
 */
final class ConnectAttempts {
  private final ConnectBackoff backoff;
  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final long timeoutNanos;

  /**
   * Creates the tracker of one connection pool.
   *
   * @param timeoutNanos how long a connection may take to be established
   */
  ConnectAttempts(
      ConnectBackoff backoff,
      EventLoopClock clock,
      TimerQueue timers,
      Counters counters,
      long timeoutNanos) {
    this.backoff = backoff;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.timeoutNanos = timeoutNanos;
  }

  /**
   * Returns whether a connection may be opened for the exchange. Health checks are exempt from the
   * connect backoff because the routing policy limits their rate itself.
   */
  boolean isAllowed(Exchange exchange) {
    return exchange.isHealthCheck() || backoff.isAttemptAllowed(exchange.host(), clock.now());
  }

  /**
   * Starts an attempt to connect.
   *
   * @param onTimeout run after the attempt has failed because it did not end in time
   */
  ConnectAttempt start(HostId host, Runnable onTimeout) {
    return new ConnectAttempt(host, onTimeout);
  }

  /**
   * One attempt to connect. Its first result counts; {@link #fail} and {@link #cancel} do nothing
   * afterwards.
   */
  final class ConnectAttempt {
    private final HostId host;
    private final TimerQueue.ScheduledTask timeoutTask;

    private ConnectAttempt(HostId host, Runnable onTimeout) {
      this.host = host;
      backoff.attemptStarted(host);
      timeoutTask =
          timers.schedule(
              clock.now() + timeoutNanos,
              () -> {
                recordFailure();
                onTimeout.run();
              });
    }

    /** Records that the connection was established. */
    void succeed() {
      timeoutTask.cancel();
      backoff.attemptSucceeded(host);
    }

    /**
     * Records that the host refused or reset the connection, unless the attempt has ended before.
     */
    void fail() {
      if (timeoutTask.cancel()) {
        recordFailure();
      }
    }

    /**
     * Records that the router gave up the attempt, unless it has ended before. This does not count
     * as a failure of the host.
     */
    void cancel() {
      if (timeoutTask.cancel()) {
        backoff.attemptCancelled(host);
      }
    }

    private void recordFailure() {
      counters.increment(Counter.CONNECTIONS_FAILED);
      backoff.attemptFailed(host, clock.now());
    }
  }
}
