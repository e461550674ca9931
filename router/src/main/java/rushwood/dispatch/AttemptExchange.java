package rushwood.dispatch;

import io.netty.buffer.ByteBuf;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.HostId;

/** One attempt at a request. */
final class AttemptExchange extends Exchange {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final AttemptRunner runner;
  private final InFlightRequest request;
  private final int attemptNumber;
  private final long startedAt;
  private final long timeoutNanos;
  private final TimerQueue.ScheduledTask timeout;

  /**
   * Creates the next attempt of a request, which stops by itself at its timeout.
   *
   * @param runner what is told of the end of the attempt
   * @param timers runs the timeout
   * @param startedAt the current time
   * @param timeoutNanos how long the response is waited for
   * @param startWithinNanos within which time the statement may be written
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
    timeout = timers.schedule(startedAt + timeoutNanos, () -> stop(AttemptOutcome.TIMED_OUT));
  }

  InFlightRequest request() {
    return request;
  }

  /** The result as of now. */
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

  /** The statement tells the host how many milliseconds are left, at least one. */
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
    timeout.cancel();
    runner.attemptEnded(this, response);
  }
}
