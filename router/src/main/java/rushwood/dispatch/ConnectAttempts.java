package rushwood.dispatch;

import rushwood.api.HostId;
import rushwood.overload.ConnectBackoff;

/**
 * The connections to hosts that are being established: whether one may begin, how long it may take,
 * and what the connect backoff and the counters learn of its end.
 */
final class ConnectAttempts {
  private final ConnectBackoff backoff;
  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final long timeoutNanos;

  /**
   * Creates the attempts of one connection pool.
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
   * Whether a connection may be opened for the exchange. The routing policy limits health checks
   * itself: they are exempt from the connect backoff.
   */
  boolean isAllowed(Exchange exchange) {
    return exchange.isHealthCheck() || backoff.isAttemptAllowed(exchange.host(), clock.now());
  }

  /** Begins an attempt, which fails by itself and runs {@code onTimeout} unless it ends in time. */
  ConnectAttempt start(HostId host, Runnable onTimeout) {
    return new ConnectAttempt(host, onTimeout);
  }

  /** One connection that is being established. It ends once; what is called later does nothing. */
  final class ConnectAttempt {
    private final HostId host;
    private final TimerQueue.ScheduledTask timeout;

    private ConnectAttempt(HostId host, Runnable onTimeout) {
      this.host = host;
      backoff.attemptStarted(host);
      timeout =
          timers.schedule(
              clock.now() + timeoutNanos,
              () -> {
                recordFailure();
                onTimeout.run();
              });
    }

    /** The connection is up. */
    void succeed() {
      timeout.cancel();
      backoff.attemptSucceeded(host);
    }

    /** The host refused the connection or reset it, unless it was up before. */
    void fail() {
      if (timeout.cancel()) {
        recordFailure();
      }
    }

    /**
     * The router gave the connection up, unless it was up before: that says nothing of the host.
     */
    void cancel() {
      if (timeout.cancel()) {
        backoff.attemptCancelled(host);
      }
    }

    private void recordFailure() {
      counters.increment(Counter.CONNECTIONS_FAILED);
      backoff.attemptFailed(host, clock.now());
    }
  }
}
