package rushwood.dispatch;

import rushwood.api.AttemptOutcome;

/**
 * Decides whether a statement that the routing policy has sent is written to its host now, later or
 * never. What is never written is withheld:
 *
 * <ul>
 *   <li>Withheld, as the host drains or was removed: nothing new may reach it once its drain grace
 *       is over. Asked as an exchange starts; also for each unwritten exchange of a host as it
 *       begins to drain ({@link EndpointPool#startDraining}).
 *   <li>Withheld, as the client disconnected or cancelled its request: nobody waits for the
 *       response. Done as the client leaves ({@link AttemptRunner#withholdUnwritten}), also where
 *       hosts cannot be told to stop what they have begun.
 *   <li>Deferred, as input may be unread that is older than {@link #maxUnreadNanos}: it could say
 *       that the host drains or that the client has left. Asked once, when the connection is ready.
 *   <li>Withheld, as the write deadline of the exchange has passed: the end of its timeout or, for
 *       a retry under an idempotency key, of the window of that key. Asked last before the write.
 *   <li>Otherwise written.
 * </ul>
 *
 * <p>A withheld statement has provably not run: its exchange ends as {@link
 * AttemptOutcome#NOT_SENT}, and the routing policy chooses anew.
 */
final class WriteGate {
  /** What is to be done with a statement. */
  enum Decision {
    /** It is written now. */
    WRITE,
    /** It is written in a later turn of the event loop, if nothing ends it before. */
    DEFER,
    /** It is never written; {@link #withhold} gives the end of its exchange. */
    WITHHOLD
  }

  /**
   * How long the sockets of clients may go unread before a write. Nothing is to be written later
   * than 0.1 s after its client disconnected; this is half of that.
   */
  private static final long MAX_UNREAD_CLIENT_NANOS = 50_000_000L;

  /** The part of the drain grace for which discovery's socket may go unread before a write. */
  private static final int DRAIN_GRACE_DIVISOR = 4;

  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final long maxUnreadNanos;

  /**
   * Creates the gate of all connections to hosts.
   *
   * @param drainGraceNanos within which time of its draining a host must get no new statement
   */
  WriteGate(EventLoopClock clock, TimerQueue timers, Counters counters, long drainGraceNanos) {
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    maxUnreadNanos = Math.min(drainGraceNanos / DRAIN_GRACE_DIVISOR, MAX_UNREAD_CLIENT_NANOS);
  }

  /** Decides about an exchange that is to start at a host. */
  Decision decideAtStart(EndpointPool endpoint) {
    return endpoint.isDraining() ? Decision.WITHHOLD : Decision.WRITE;
  }

  /** Decides about an exchange whose connection is ready. */
  Decision decideWhenReady(Exchange exchange) {
    return clock.canHaveUnreadInput(maxUnreadNanos)
        ? Decision.DEFER
        : decideAfterDeferral(exchange);
  }

  /** Decides about an exchange that was deferred; it is not deferred again. */
  Decision decideAfterDeferral(Exchange exchange) {
    return exchange.isTooLateToWrite(clock.now()) ? Decision.WITHHOLD : Decision.WRITE;
  }

  /**
   * Runs a write that is deferred. The next turn of the event loop reads all sockets, in no
   * particular order, so the write runs in the turn after that one.
   */
  void defer(Runnable write) {
    counters.increment(Counter.ATTEMPTS_DEFERRED);
    timers.schedule(clock.now() + 1, write);
  }

  /** Counts a statement that is withheld; returns the end of its exchange. */
  BackendResponse withhold() {
    counters.increment(Counter.ATTEMPTS_WITHHELD);
    return BackendResponse.withoutRow(AttemptOutcome.NOT_SENT);
  }
}
