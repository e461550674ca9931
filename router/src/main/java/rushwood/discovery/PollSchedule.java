package rushwood.discovery;

import java.util.random.RandomGenerator;

/**
 * When the complete list is polled: the intervals, timeouts and their jitter. All times are
 * nanoseconds of the caller's clock.
 *
 * <p>Every interval follows from how old the router's list may get: half of it between polls, a
 * quarter for the agent's response, an eighth to a quarter between failing polls. None of them
 * grows while the agent is down. The agent serves this router alone, so that there is no shared
 * server to protect, and a longer wait would break the bound.
 */
final class PollSchedule {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NEVER = Long.MAX_VALUE;

  /** Shortest interval at any drain grace: 40 polls a second take a few ms of a core. */
  private static final long MIN_INTERVAL_NANOS = 25 * NANOS_PER_MILLI;

  /**
   * Longest time that the list may be out of date. A change counts as announced 6 s after the agent
   * has it; a poll interval and two response timeouts stay two seconds below that.
   */
  private static final long MAX_STALENESS_NANOS = 4000 * NANOS_PER_MILLI;

  /** Response timeouts that a response may take from its first byte to its last. */
  private static final int TIMEOUTS_PER_RESPONSE = 4;

  private final RandomGenerator random;
  private final long pollInterval;
  private final long responseTimeout;
  private long maxPollDuration;
  private long regularPollAt = NEVER;
  private long urgentPollAt = NEVER;
  private long earliestPollAt = Long.MIN_VALUE;

  /**
   * Derives the intervals from the drain grace.
   *
   * @param drainGrace time after which a leaving endpoint may get nothing new
   */
  PollSchedule(long drainGrace, RandomGenerator random) {
    this.random = random;
    long maxStaleness = Math.min(drainGrace, MAX_STALENESS_NANOS);
    pollInterval = Math.max(MIN_INTERVAL_NANOS, maxStaleness / 2);
    responseTimeout = Math.max(MIN_INTERVAL_NANOS, maxStaleness / 4);
    maxPollDuration = TIMEOUTS_PER_RESPONSE * responseTimeout;
  }

  /**
   * The list is known to be out of date or may be: polls as soon as the last poll is old enough.
   */
  void pollUrgently(long now) {
    urgentPollAt = Math.min(urgentPollAt, now);
  }

  /** As {@link #pollUrgently}, without a wait after the last poll. */
  void pollImmediately(long now) {
    earliestPollAt = now;
    pollUrgently(now);
  }

  /** Polls after an interval at the latest. */
  void pollWithinInterval(long now) {
    urgentPollAt = Math.min(urgentPollAt, now + jitteredPollInterval());
  }

  void pollStarted(long now) {
    regularPollAt = NEVER;
    urgentPollAt = NEVER;
    earliestPollAt = now + responseTimeout / 2 + random.nextLong(responseTimeout / 2);
  }

  void pollCompleted(long now) {
    maxPollDuration = TIMEOUTS_PER_RESPONSE * responseTimeout;
    regularPollAt = now + jitteredPollInterval();
  }

  /**
   * The poll was closed at its deadline. If a response had started, the next may take twice as
   * long, up to the heartbeat interval: the list may simply be long.
   */
  void pollTimedOut(long now, boolean responseStarted) {
    if (responseStarted) {
      long limit = Math.max(maxPollDuration, DiscoveryProtocol.HEARTBEAT_NANOS);
      maxPollDuration = Math.min(2 * maxPollDuration, limit);
    }
    pollImmediately(now); // the timeout was the wait
  }

  /** When a poll that was opened at {@code openedAt} and last sent data then is closed. */
  long deadline(long openedAt, long lastDataAt) {
    return Math.min(lastDataAt + responseTimeout, openedAt + maxPollDuration);
  }

  /** When the next poll is due; {@link Long#MAX_VALUE} for no poll. */
  long nextPollAt() {
    long at = Math.min(regularPollAt, urgentPollAt);
    return at == NEVER ? NEVER : Math.max(at, earliestPollAt);
  }

  /** Shortened by up to a quarter, so that routers that start together do not stay in step. */
  private long jitteredPollInterval() {
    return pollInterval - random.nextLong(pollInterval / 4);
  }
}
