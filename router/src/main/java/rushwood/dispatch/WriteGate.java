package rushwood.dispatch;

import rushwood.api.AttemptOutcome;

/**
 * Decides whether a statement is written to its host now, written later, or withheld, that is never
 * written:
 *
 * <ul>
 *   <li>Withheld if the host is draining or was removed: no new statement may reach it once its
 *       drain grace is over. Checked when an exchange starts, and for each unwritten exchange of a
 *       host when the host begins to drain ({@link EndpointPool#startDraining}).
 *   <li>Withheld if the client disconnected or cancelled its request, because nobody waits for the
 *       response. This happens when the client disconnects ({@link
 *       AttemptRunner#withholdUnwritten}), even where hosts cannot cancel a statement that they
 *       have started.
 *   <li>Deferred if there may be unread input older than {@link #maxReadDelayNanos}, which could
 *       say that the host drains or that the client has disconnected. Checked once, when the
 *       connection is ready.
 *   <li>Withheld if the write deadline of the exchange has passed: the end of the attempt's timeout
 *       or, for a retry under an idempotency key, the end of the key's window. Checked directly
 *       before the write.
 *   <li>Written otherwise.
 * </ul>
 *
 * <p>A withheld statement has not run. Its exchange ends as {@link AttemptOutcome#NOT_SENT}, and
 * the routing policy may choose another host.
 */
final class WriteGate {
  /** What to do with a statement. */
  enum Decision {
    /** Write it now. */
    WRITE,
    /** Write it in a later turn of the event loop, unless its exchange ends before. */
    DEFER,
    /** Do not write it; {@link #withhold} returns the response that ends its exchange. */
    WITHHOLD
  }

  /**
   * The maximum time that the sockets of clients may have gone unread before a write. No statement
   * may be written later than 0.1 s after its client disconnected; this is half of that.
   */
  private static final long MAX_CLIENT_READ_DELAY_NANOS = 50_000_000L;

  /**
   * The maximum time that discovery's socket may have gone unread before a write is the drain grace
   * divided by this.
   */
  private static final int DRAIN_GRACE_DIVISOR = 4;

  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final long maxReadDelayNanos;

  /**
   * Creates the gate for all connections to hosts.
   *
   * @param drainGraceNanos the time after the start of its drain from which on a host must not
   *     receive new statements
   */
  WriteGate(EventLoopClock clock, TimerQueue timers, Counters counters, long drainGraceNanos) {
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    maxReadDelayNanos =
        Math.min(drainGraceNanos / DRAIN_GRACE_DIVISOR, MAX_CLIENT_READ_DELAY_NANOS);
  }

  /** Decides on an exchange that is about to start on a host. */
  Decision decideAtStart(EndpointPool endpoint) {
    return endpoint.isDraining() ? Decision.WITHHOLD : Decision.WRITE;
  }

  /** Decides on an exchange whose connection is ready. */
  Decision decideWhenReady(Exchange exchange) {
    return clock.canHaveUnreadInput(maxReadDelayNanos)
        ? Decision.DEFER
        : decideAfterDeferral(exchange);
  }

  /** Decides on an exchange that was deferred; it is not deferred again. */
  Decision decideAfterDeferral(Exchange exchange) {
    return exchange.isWriteDeadlinePassed(clock.now()) ? Decision.WITHHOLD : Decision.WRITE;
  }

  /**
   * Schedules a deferred write. The next turn of the event loop reads all sockets, in no particular
   * order, so the write runs in the turn after it.
   */
  void defer(Runnable write) {
    counters.increment(Counter.ATTEMPTS_DEFERRED);
    timers.schedule(clock.now() + 1, write);
  }

  /** Counts a withheld statement and returns the response that ends its exchange. */
  BackendResponse withhold() {
    counters.increment(Counter.ATTEMPTS_WITHHELD);
    return BackendResponse.withoutRow(AttemptOutcome.NOT_SENT);
  }
}
