package rushwood.dispatch;

import io.netty.buffer.ByteBuf;
import rushwood.api.AttemptOutcome;
import rushwood.api.HostId;

/** Sends the health checks that the routing policy asks for and reports their results to it. */
final class HealthCheckRunner {
  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final ConnectionPool pool;
  private final PolicyEventQueue events;
  private final BackendConnection.Connector connector;
  private final long timeoutNanos;

  /**
   * Creates a runner.
   *
   * @param connector creates the statement of a health check
   * @param timeoutNanos the time limit of a health check, including that for connecting
   */
  HealthCheckRunner(
      EventLoopClock clock,
      TimerQueue timers,
      Counters counters,
      ConnectionPool pool,
      PolicyEventQueue events,
      BackendConnection.Connector connector,
      long timeoutNanos) {
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.pool = pool;
    this.events = events;
    this.connector = connector;
    this.timeoutNanos = timeoutNanos;
  }

  /** Sends a health check to a host. One that cannot be sent ends at once as unanswered. */
  void start(HostId host) {
    counters.increment(Counter.PROBES_SENT);
    HealthCheckExchange healthCheck = new HealthCheckExchange(host);
    timers.schedule(clock.now() + timeoutNanos, () -> healthCheck.stop(AttemptOutcome.TIMED_OUT));
    pool.execute(healthCheck);
  }

  private final class HealthCheckExchange extends Exchange {
    HealthCheckExchange(HostId host) {
      super(host, NO_WRITE_DEADLINE);
    }

    @Override
    ByteBuf encodeStatement(long now) {
      return connector.healthCheckStatement();
    }

    @Override
    boolean isHealthCheck() {
      return true;
    }

    @Override
    void onCompleted(BackendResponse response) {
      boolean answered = response.outcome() == AttemptOutcome.SUCCESS;
      if (answered) {
        counters.increment(Counter.PROBES_ANSWERED);
      }
      response.release();
      events.deliver(
          policy -> policy.healthCheckFinished(clock.now(), host(), answered, response.report()));
    }
  }
}
