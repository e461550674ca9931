package rushwood.server;

import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.RequestDispatcher;
import rushwood.dispatch.TimerQueue;
import rushwood.net.ClientListener;
import rushwood.net.FrontendServer;

/**
 * What happens between SIGTERM and exit. Times count from the signal; T is the longest that any
 * client waits for an answer, but 3 s at most. The values on the right hold for T = 3 s.
 *
 * <ol>
 *   <li>At once: the routing policy is told the time of the last answer, T + 0.5 s (3.5 s), by
 *       which it answers every request that it holds. Connections are still accepted. To make room
 *       for others, only those are closed that have never sent a request; idle ones are kept.
 *   <li>Until T + 0.2 s (3.2 s), earlier by twice the longest recent pause of the process, but
 *       never before 0.55 s: requests on open and on new connections are served as before.
 *   <li>Then the drain: each connection is closed as soon as it has no request, and new ones are
 *       refused. Checked every 50 ms.
 *   <li>Once no connection is left, at T + 0.4 s (3.4 s) at the latest: those that wait to be
 *       accepted are refused with an error too, and the listener is closed.
 *   <li>Once none of these is left, at T + 0.6 s (3.6 s) at the latest: all connections are closed,
 *       the counters are logged, and the process exits.
 *   <li>T + 0.7 s (3.7 s): the earliest SIGKILL.
 * </ol>
 *
 * <p>Used on the event loop only.
 */
final class ShutdownSequence {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * The platform sends SIGKILL this long plus the longest request timeout after SIGTERM, however
   * soon the process exits, and counts {@link #MAX_COUNTED_REQUEST_TIMEOUT_NANOS} of the timeout at
   * most. Clients are served until then, as the load balancer in front of the routers goes on
   * sending them here.
   */
  private static final long KILL_GRACE_NANOS = 700 * NANOS_PER_MILLI;

  private static final long MAX_COUNTED_REQUEST_TIMEOUT_NANOS = 3000 * NANOS_PER_MILLI;

  /** From the last answer to SIGKILL: covers a short suspension and the time to exit. */
  private static final long EXIT_RESERVE_NANOS = 200 * NANOS_PER_MILLI;

  /** From the start of the drain to the last answer: most requests are answered in less. */
  private static final long DRAIN_RESERVE_NANOS = 300 * NANOS_PER_MILLI;

  /**
   * The drain starts earlier by this many times the longest recent pause: a process that was
   * suspended lately may be again, and one that is suspended just before it ends leaves requests
   * without an answer.
   */
  private static final int RESERVED_PAUSES = 2;

  /**
   * The drain starts this long after SIGTERM at the earliest: new connections still come for a
   * while, and the platform counts no request as lost that comes in the first 0.7 s.
   */
  private static final long MIN_SERVING_NANOS = 550 * NANOS_PER_MILLI;

  /** How long SIGTERM takes to reach the shutdown hook: two threads start for it. */
  private static final long SIGNAL_DELAY_NANOS = 100 * NANOS_PER_MILLI;

  /** From the end of the sequence to SIGKILL, for the Java runtime to end. */
  private static final long RUNTIME_EXIT_NANOS = 100 * NANOS_PER_MILLI;

  /** Between two checks whether it is time to drain, or whether all is answered. */
  private static final long CHECK_INTERVAL_NANOS = 50 * NANOS_PER_MILLI;

  /** From the end of the listener to the last answer: who was accepted last is told to go. */
  private static final long LISTENER_RESERVE_NANOS = 2 * CHECK_INTERVAL_NANOS;

  private final EventLoopClock clock;
  private final TimerQueue timerQueue;
  private final RequestDispatcher dispatcher;
  private final FrontendServer frontend;
  private final ClientListener listener;
  private final Runnable onDrained;
  private final long earliestDrainTime;
  private final long lastAnswerTime;

  /**
   * Plans the shutdown from the moment of the signal; {@link #start} begins it.
   *
   * @param maxRequestTimeoutNanos the longest that any client waits for an answer
   * @param hookDelayNanos how long ago the shutdown hook ran: it may have had to wait for the start
   *     of the router to finish, and for the event loop
   * @param onDrained closes everything; runs once, when no connection is left or the last answer is
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
    // A signal that came while the process was suspended may have come at the pause's start.
    long hookTime = clock.now() - hookDelayNanos;
    long signalTime = Math.min(clock.recentPauseStartOrNow(SIGNAL_DELAY_NANOS), hookTime);
    long killTime = signalTime + killDelayNanos(maxRequestTimeoutNanos);
    earliestDrainTime = signalTime + MIN_SERVING_NANOS;
    lastAnswerTime = killTime - EXIT_RESERVE_NANOS;
  }

  private static long killDelayNanos(long maxRequestTimeoutNanos) {
    return Math.min(maxRequestTimeoutNanos, MAX_COUNTED_REQUEST_TIMEOUT_NANOS) + KILL_GRACE_NANOS;
  }

  /** How long after SIGTERM the Java runtime has to begin to end, in nanoseconds. */
  static long maxDurationNanos(long maxRequestTimeoutNanos) {
    return killDelayNanos(maxRequestTimeoutNanos) - RUNTIME_EXIT_NANOS;
  }

  /** Tells the parts that the router shuts down and serves on until it is time to drain. */
  void start() {
    dispatcher.shuttingDown(lastAnswerTime);
    frontend.shuttingDown();
    serveUntilDrainTime();
  }

  /**
   * Drains at once when the time has come: one turn of the event loop later more requests may have
   * been read.
   */
  private void serveUntilDrainTime() {
    long now = clock.now();
    long pauseReserve = RESERVED_PAUSES * clock.recentLongestPauseNanos();
    long drainTime =
        Math.max(earliestDrainTime, lastAnswerTime - DRAIN_RESERVE_NANOS - pauseReserve);
    if (now >= drainTime) {
      drain();
    } else {
      timerQueue.schedule(
          Math.min(drainTime, now + CHECK_INTERVAL_NANOS), this::serveUntilDrainTime);
    }
  }

  /**
   * Closes connections without a request until none is left. All requests have an answer by the
   * last answer time; the interval after it lets the answers be written and the connections end.
   */
  private void drain() {
    frontend.drain();
    long now = clock.now();
    boolean isOverdue = now >= lastAnswerTime + CHECK_INTERVAL_NANOS;
    if (now >= lastAnswerTime - LISTENER_RESERVE_NANOS || frontend.openConnections() == 0) {
      listener.stop();
    }
    boolean isDone = listener.isStopped() && frontend.openConnections() == 0;
    if (!isDone && !isOverdue) {
      timerQueue.schedule(now + CHECK_INTERVAL_NANOS, this::drain);
    } else {
      onDrained.run();
    }
  }
}
