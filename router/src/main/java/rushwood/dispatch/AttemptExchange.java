package rushwood.dispatch;

import io.netty.buffer.ByteBuf;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.HostId;

/** One attempt at a request on one host. Ends by itself when its timeout expires. */
final class AttemptExchange extends Exchange {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final AttemptRunner runner;
  private final InFlightRequest request;
  private final int attemptNumber;
  private final long startedAt;
  private final long timeoutNanos;
  private final TimerQueue.ScheduledTask timeoutTask;

  /**
   * Creates the next attempt of a request and starts its timeout.
   *
   * @param runner notified when the attempt ends
   * @param timers schedules the timeout
   * @param startedAt the current time, Unix time in nanoseconds
   * @param timeoutNanos how long to wait for the response, counted from {@code startedAt}
   * @param startWithinNanos the time from {@code startedAt} within which the statement may be
   *     written
   */
  AttemptExchange(
      AttemptRunner runner,
      TimerQueue timers,
      InFlightRequest request,
      HostId host,
      long startedAt,
      long timeoutNanos,
      long startWithinNanos) {
    super(host, startedAt + Math.min(timeoutNanos, startWithinNanos));
    this.runner = runner;
    this.request = request;
    this.attemptNumber = request.attemptCount();
    this.startedAt = startedAt;
    this.timeoutNanos = timeoutNanos;
    timeoutTask = timers.schedule(startedAt + timeoutNanos, () -> stop(AttemptOutcome.TIMED_OUT));
  }

  InFlightRequest request() {
    return request;
  }

  /**
   * Returns the result that is reported to the routing policy.
   *
   * @param now the current time, which ends the attempt's duration
   */
  AttemptResult toResult(BackendResponse response, long now) {
    return new AttemptResult(
        request.id(),
        attemptNumber,
        host(),
        response.outcome(),
        now - startedAt,
        request.isAnswered(),
        response.role(),
        response.position(),
        response.report());
  }

  /** Encodes the statement with the rest of the timeout in whole milliseconds, at least one. */
  @Override
  ByteBuf encodeStatement(long now) {
    long remainingNanos = startedAt + timeoutNanos - now;
    return request.statement().toMessage(Math.max(1, remainingNanos / NANOS_PER_MILLI));
  }

  @Override
  boolean isHealthCheck() {
    return false;
  }

  @Override
  void onCompleted(BackendResponse response) {
    timeoutTask.cancel();
    runner.attemptEnded(this, response);
  }
}
