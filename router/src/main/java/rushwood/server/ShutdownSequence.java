package rushwood.server;

import io.netty.channel.Channel;
import org.tinylog.Logger;

/**
 * The graceful shutdown of a router that serves clients.
 *
 * <ol>
 *   <li>Requests on open and on new connections are served for as long as their answers can be
 *       given in time.
 *   <li>Then connections without an open request are closed, the others once they are answered.
 *   <li>Once no connection is left, or the last answer is overdue, everything is closed.
 * </ol>
 *
 * <p>Used on the event loop only.
 */
final class ShutdownSequence {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * The platform sends SIGKILL no earlier than the longest request timeout, of which it counts this
   * much at most, and {@link #KILL_GRACE_NANOS} after SIGTERM, however soon the process exits.
   * Clients are served until then, as the load balancer in front of the routers goes on sending
   * clients here for seconds: with connections closed after 0.55 s, half of the attempts to connect
   * to two routers failed meanwhile.
   */
  private static final long MAX_COUNTED_REQUEST_TIMEOUT_NANOS = 3000 * NANOS_PER_MILLI;

  private static final long KILL_GRACE_NANOS = 700 * NANOS_PER_MILLI;

  /** From the last answer to SIGKILL: covers a short suspension and the time to exit. */
  private static final long EXIT_RESERVE_NANOS = 200 * NANOS_PER_MILLI;

  /** From the last request taken to the last answer: most requests are answered in less. */
  private static final long LAST_REQUEST_RESERVE_NANOS = 300 * NANOS_PER_MILLI;

  /**
   * A process that is suspended just before it ends leaves the requests that come meanwhile without
   * an answer. One that was suspended recently may be suspended again, so it takes its last request
   * earlier by this many times the longest recent pause. The price is a longer time in which
   * clients find no router.
   */
  private static final int PAUSES_RESERVED = 2;

  /**
   * Connections are closed this long after SIGTERM at the earliest: new ones have stopped coming
   * after 0.4 s, and the platform counts no request as lost that comes in the first 0.7 s.
   */
  private static final long MIN_SERVING_NANOS = 550 * NANOS_PER_MILLI;

  /**
   * How long SIGTERM takes to reach the event loop: two threads start for it, on part of a core.
   */
  private static final long SIGNAL_DELAY_NANOS = 100 * NANOS_PER_MILLI;

  /** Interval between two checks whether it is time to drain, or whether all is answered. */
  private static final long POLL_INTERVAL_NANOS = 50 * NANOS_PER_MILLI;

  private final RouterComponents components;
  private final Channel listener;
  private final Runnable onStopped;
  private final long earliestDrainTime;
  private final long lastAnswerTime;

  /**
   * Plans the shutdown from the moment of the signal; {@link #start} begins it.
   *
   * @param maxRequestTimeoutNanos the longest that any client waits for an answer
   * @param onStopped runs once everything is closed
   */
  ShutdownSequence(
      RouterComponents components,
      Channel listener,
      long maxRequestTimeoutNanos,
      Runnable onStopped) {
    this.components = components;
    this.listener = listener;
    this.onStopped = onStopped;
    // A signal that came while the process was suspended may have come at the pause's start.
    long signalTime = components.clock().earliestArrival(SIGNAL_DELAY_NANOS);
    long killTime =
        signalTime
            + Math.min(maxRequestTimeoutNanos, MAX_COUNTED_REQUEST_TIMEOUT_NANOS)
            + KILL_GRACE_NANOS;
    earliestDrainTime = signalTime + MIN_SERVING_NANOS;
    lastAnswerTime = killTime - EXIT_RESERVE_NANOS;
  }

  /** Tells the parts that the router shuts down and serves on until it is time to drain. */
  void start() {
    components.dispatcher().shuttingDown(lastAnswerTime);
    components.frontend().shuttingDown();
    serveUntilDrainTime();
  }

  /**
   * Drains at once when the time has come: one turn of the event loop later more requests may have
   * been read.
   */
  private void serveUntilDrainTime() {
    long now = components.clock().now();
    long pauseReserve = PAUSES_RESERVED * components.clock().recentLongestPause();
    long drainTime =
        Math.max(earliestDrainTime, lastAnswerTime - LAST_REQUEST_RESERVE_NANOS - pauseReserve);
    if (now >= drainTime) {
      drain();
    } else {
      components
          .timerQueue()
          .schedule(Math.min(drainTime, now + POLL_INTERVAL_NANOS), this::serveUntilDrainTime);
    }
  }

  private void drain() {
    components.frontend().drain();
    // All requests have an answer by the last answer time; the interval after it lets the answers
    // be written and the connections end.
    long now = components.clock().now();
    if (components.frontend().openConnections() > 0 && now < lastAnswerTime + POLL_INTERVAL_NANOS) {
      components.timerQueue().schedule(now + POLL_INTERVAL_NANOS, this::drain);
      return;
    }
    close();
  }

  private void close() {
    components.frontend().close();
    listener.close();
    components.discoveryClient().close();
    components.dispatcher().close();
    Logger.info("counters {}", components.counters());
    onStopped.run();
  }
}
