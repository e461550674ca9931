package rushwood.server;

import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.RequestDispatcher;
import rushwood.dispatch.TimerQueue;
import rushwood.net.ClientListener;
import rushwood.net.FrontendServer;

/**
 * The graceful shutdown of a router, from SIGTERM to exit. Times count from the signal. T is the
 * longest request timeout of any client, at most 3 s; times in parentheses are for T = 3 s.
 *
 * <ol>
 *   <li>At once: the routing policy is notified of the time of the last answer, T + 0.5 s (3.5 s),
 *       and answers every request that it holds by then. Connections are still accepted. Only those
 *       that have never sent a request are closed to make room for new ones; idle ones are kept.
 *   <li>Until T + 0.2 s (3.2 s), less twice the longest recent pause of the process, but at least
 *       until 0.55 s: requests on open and on new connections are served as usual.
 *   <li>Then the drain: each connection is closed as soon as it has no request, and new ones are
 *       refused. Progress is checked every 50 ms.
 *   <li>Requests that wait behind others of their client are not known to the routing policy. They
 *       are rejected early enough before the last answer, which may be before the drain; the drain
 *       then starts with it. Requests that are pending by then are still served as long as there is
 *       time to reject those behind them.
 *   <li>Once no connection is open, at T + 0.4 s (3.4 s) at the latest: connections in the accept
 *       queue of the kernel are refused with an error too, and the listener is closed.
 *   <li>Once the listener is closed and no connection is open, else at T + 0.55 s (3.55 s) or, if
 *       requests have no answer by then, once they have one, at T + 0.6 s (3.6 s) at the latest:
 *       all remaining connections are closed, the counters are logged, and the process exits.
 *   <li>T + 0.7 s (3.7 s): the earliest SIGKILL.
 * </ol>
 *
 * <p>Used on the event loop only.
 */
final class ShutdownSequence {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * The platform sends SIGKILL this long plus the longest request timeout after SIGTERM, and counts
   * at most {@link #MAX_COUNTED_REQUEST_TIMEOUT_NANOS} of the timeout. Clients are served until
   * then, because the load balancer in front of the routers keeps sending them here even if the
   * process exits earlier.
   */
  private static final long KILL_GRACE_NANOS = 700 * NANOS_PER_MILLI;

  private static final long MAX_COUNTED_REQUEST_TIMEOUT_NANOS = 3000 * NANOS_PER_MILLI;

  /** Time from the last answer to SIGKILL, for a short suspension and the exit of the process. */
  private static final long EXIT_RESERVE_NANOS = 200 * NANOS_PER_MILLI;

  /** Time from the start of the drain to the last answer; most requests take less. */
  private static final long DRAIN_RESERVE_NANOS = 300 * NANOS_PER_MILLI;

  /**
   * The drain starts earlier by this multiple of the longest recent pause. A process that was
   * suspended recently may be suspended again, and if that happens just before it exits, requests
   * stay unanswered.
   */
  private static final int PAUSE_RESERVE_FACTOR = 2;

  /**
   * The drain starts this long after SIGTERM at the earliest, because new connections still arrive
   * for a while. The platform does not count requests as lost that arrive in the first 0.7 s.
   */
  private static final long MIN_SERVING_NANOS = 550 * NANOS_PER_MILLI;

  /** Upper bound of the time from SIGTERM to the shutdown hook; two threads start in between. */
  private static final long MAX_SIGNAL_DELAY_NANOS = 100 * NANOS_PER_MILLI;

  /** Time from the end of the sequence to SIGKILL, for the Java runtime to exit. */
  private static final long RUNTIME_EXIT_NANOS = 100 * NANOS_PER_MILLI;

  /** Interval of the checks whether to start the drain, and whether the drain is complete. */
  private static final long CHECK_INTERVAL_NANOS = 50 * NANOS_PER_MILLI;

  /**
   * Queued requests are rejected earlier by this multiple of the time that it is estimated to take:
   * while the requests before them end, the first rejections improve the estimate.
   */
  private static final int REJECTION_RESERVE_FACTOR = 2;

  /** Interval of the checks whether the last overdue answers are written. */
  private static final long OVERDUE_CHECK_INTERVAL_NANOS = NANOS_PER_MILLI;

  /** Time from closing the listener to the last answer; connections accepted last are refused. */
  private static final long LISTENER_RESERVE_NANOS = 2 * CHECK_INTERVAL_NANOS;

  private final EventLoopClock clock;
  private final TimerQueue timerQueue;
  private final RequestDispatcher dispatcher;
  private final FrontendServer frontend;
  private final ClientListener listener;
  private final Runnable onDrained;
  private final long earliestDrainTime;
  private final long lastAnswerTime;
  private final long endTime;

  /**
   * Computes the times of the shutdown, which begins with {@link #start}.
   *
   * @param maxRequestTimeoutNanos the longest that any client waits for an answer
   * @param hookDelayNanos time since the shutdown hook was called; the hook may have waited for the
   *     start of the router to finish, and its task for the event loop
   * @param onDrained closes everything; runs once, when no connection is open or the last answer is
   *     overdue
   */
  ShutdownSequence(
      RouterComponents components,
      ClientListener listener,
      long maxRequestTimeoutNanos,
      long hookDelayNanos,
      Runnable onDrained) {
    clock = components.clock();
    timerQueue = components.timerQueue();
    dispatcher = components.dispatcher();
    frontend = components.frontend();
    this.listener = listener;
    this.onDrained = onDrained;
    // A signal that arrived during a pause of the process may have been sent at its start.
    long hookTime = clock.now() - hookDelayNanos;
    long signalTime = Math.min(clock.recentPauseStartOrNow(MAX_SIGNAL_DELAY_NANOS), hookTime);
    long killTime = signalTime + killDelayNanos(maxRequestTimeoutNanos);
    earliestDrainTime = signalTime + MIN_SERVING_NANOS;
    lastAnswerTime = killTime - EXIT_RESERVE_NANOS;
    endTime = killTime - RUNTIME_EXIT_NANOS;
  }

  private static long killDelayNanos(long maxRequestTimeoutNanos) {
    return Math.min(maxRequestTimeoutNanos, MAX_COUNTED_REQUEST_TIMEOUT_NANOS) + KILL_GRACE_NANOS;
  }

  /** Returns the time from SIGTERM to the end of the sequence at the latest, in nanoseconds. */
  static long maxDurationNanos(long maxRequestTimeoutNanos) {
    return killDelayNanos(maxRequestTimeoutNanos) - RUNTIME_EXIT_NANOS;
  }

  /** Announces the shutdown to the components; requests are served until it is time to drain. */
  void start() {
    dispatcher.shuttingDown(lastAnswerTime);
    frontend.shuttingDown();
    serveUntilDrainTime();
  }

  /**
   * Checks whether it is time to drain. The drain starts in the same turn of the event loop,
   * because more requests may have been read by the next one.
   */
  private void serveUntilDrainTime() {
    long now = clock.now();
    long drainTime = drainTime();
    if (now >= drainTime) {
      drain();
    } else {
      timerQueue.schedule(
          Math.min(drainTime, now + CHECK_INTERVAL_NANOS), this::serveUntilDrainTime);
    }
  }

  private long drainTime() {
    long latest = lastAnswerTime - DRAIN_RESERVE_NANOS - pauseReserveNanos();
    return Math.max(earliestDrainTime, Math.min(latest, rejectionTime()));
  }

  /** Returns when to begin to reject the requests that wait behind others of their client. */
  private long rejectionTime() {
    long reserveNanos = REJECTION_RESERVE_FACTOR * frontend.queueRejectionNanos();
    return lastAnswerTime - reserveNanos - pauseReserveNanos();
  }

  private long pauseReserveNanos() {
    return PAUSE_RESERVE_FACTOR * clock.recentLongestPauseNanos();
  }

  /**
   * Closes connections without a request until none is open. All requests are answered by {@code
   * lastAnswerTime}; one more interval leaves time to write the answers and close the connections.
   */
  private void drain() {
    frontend.drain();
    long now = clock.now();
    long rejectionTime = rejectionTime();
    if (now >= rejectionTime) {
      frontend.rejectQueuedRequests();
    }
    endPendingRequestsBeforeQueuedOnes(now);
    if (now >= lastAnswerTime - LISTENER_RESERVE_NANOS || frontend.openConnections() == 0) {
      listener.stop();
    }
    boolean isDone = listener.isStopped() && frontend.openConnections() == 0;
    if (isDone || isOverdue(now)) {
      onDrained.run();
    } else {
      timerQueue.schedule(nextCheckTime(now, rejectionTime), this::drain);
    }
  }

  /**
   * Brings the end of pending requests forward if the time after {@code lastAnswerTime} would be
   * too short to reject the requests behind them.
   */
  private void endPendingRequestsBeforeQueuedOnes(long now) {
    long endOfPendingRequests = lastAnswerTime - frontend.queueRejectionNanos();
    boolean isDueBeforeNextCheck = endOfPendingRequests <= now + CHECK_INTERVAL_NANOS;
    if (isDueBeforeNextCheck && endOfPendingRequests < lastAnswerTime) {
      dispatcher.shuttingDown(endOfPendingRequests);
    }
  }

  /** Returns whether remaining connections have to be closed, or can be without loss. */
  private boolean isOverdue(long now) {
    boolean hasAnsweredAll = !frontend.hasUnansweredRequests();
    return now >= endTime || (hasAnsweredAll && now >= lastAnswerTime + CHECK_INTERVAL_NANOS);
  }

  private long nextCheckTime(long now, long rejectionTime) {
    if (now >= lastAnswerTime + CHECK_INTERVAL_NANOS) {
      return now + OVERDUE_CHECK_INTERVAL_NANOS;
    }
    long next = now + CHECK_INTERVAL_NANOS;
    return now < rejectionTime ? Math.min(next, rejectionTime) : next;
  }
}
