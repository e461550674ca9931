package rushwood.discovery;

import java.util.random.RandomGenerator;

/**
 * When the complete list is polled. With G, how old the router's list may get (the drain grace, 4 s
 * at most):
 *
 * <ul>
 *   <li>after a complete response: {@link #pollCompleted}, in 3/8 G to G/2;
 *   <li>after a list that could not be read in full: {@link #pollWithinInterval}, likewise;
 *   <li>after a failure or a list that was ignored, and at the start: {@link #pollUrgently}, at
 *       once, but G/8 to G/4 after the start of the last poll at the earliest;
 *   <li>after a poll that did not respond, and at a new address: {@link #pollImmediately}, at once;
 *   <li>a poll is closed that has sent nothing for G/4, or has taken four times that in all: {@link
 *       #deadline}.
 * </ul>
 *
 * <p>No wait grows while the agent is down: it serves this router alone, so that there is no shared
 * server to protect, and a longer wait would break the bound on the list's age. All times are
 * nanoseconds of the caller's clock.
 */
final class PollSchedule {
  /** The time of a poll that is not scheduled; later than any other. */
  static final long NOT_SCHEDULED = Long.MAX_VALUE;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Shortest interval at any drain grace: 40 polls a second are no load for an agent nearby. */
  private static final long MIN_INTERVAL_NANOS = 25 * NANOS_PER_MILLI;

  /**
   * Longest time that the list may be out of date. The platform holds the router to a change 6 s
   * after the agent has it; a poll interval and two response timeouts together take this long,
   * which leaves two seconds.
   */
  private static final long MAX_STALENESS_NANOS = 4000 * NANOS_PER_MILLI;

  /** How many response timeouts a poll may take in all as long as data keeps coming. */
  private static final int TIMEOUTS_PER_RESPONSE = 4;

  private final RandomGenerator random;
  private final long pollIntervalNanos;
  private final long responseTimeoutNanos;
  private long maxPollDurationNanos;
  private long regularPollAt = NOT_SCHEDULED;
  private long urgentPollAt = NOT_SCHEDULED;
  private long earliestPollAt = Long.MIN_VALUE; // no limit before the first poll

  /**
   * Derives the intervals from the drain grace.
   *
   * @param drainGraceNanos time after which a leaving endpoint may get nothing new
   */
  PollSchedule(long drainGraceNanos, RandomGenerator random) {
    this.random = random;
    long maxStalenessNanos = Math.min(drainGraceNanos, MAX_STALENESS_NANOS);
    pollIntervalNanos = Math.max(MIN_INTERVAL_NANOS, maxStalenessNanos / 2);
    responseTimeoutNanos = Math.max(MIN_INTERVAL_NANOS, maxStalenessNanos / 4);
    maxPollDurationNanos = TIMEOUTS_PER_RESPONSE * responseTimeoutNanos;
  }

  /**
   * Schedules a poll as soon as the last one is old enough, since the list is or may be out of
   * date.
   */
  void pollUrgently(long now) {
    urgentPollAt = Math.min(urgentPollAt, now);
  }

  /** Schedules a poll for now, without the wait after the last one. */
  void pollImmediately(long now) {
    earliestPollAt = now;
    pollUrgently(now);
  }

  /** Schedules a poll after an interval at the latest. */
  void pollWithinInterval(long now) {
    urgentPollAt = Math.min(urgentPollAt, now + jitteredPollInterval());
  }

  /** A poll was opened; none is scheduled until it ends. */
  void pollStarted(long now) {
    regularPollAt = NOT_SCHEDULED;
    urgentPollAt = NOT_SCHEDULED;
    earliestPollAt = now + responseTimeoutNanos / 2 + random.nextLong(responseTimeoutNanos / 2);
  }

  /** The poll brought a whole response. */
  void pollCompleted(long now) {
    maxPollDurationNanos = TIMEOUTS_PER_RESPONSE * responseTimeoutNanos;
    regularPollAt = now + jitteredPollInterval();
  }

  /**
   * The poll was closed at its deadline. If a response had started, the next may take twice as
   * long, up to the heartbeat interval: the list may simply be long.
   */
  void pollTimedOut(long now, boolean responseStarted) {
    if (responseStarted) {
      long limit = Math.max(maxPollDurationNanos, DiscoveryProtocol.HEARTBEAT_NANOS);
      maxPollDurationNanos = Math.min(2 * maxPollDurationNanos, limit);
    }
    pollImmediately(now); // the timeout has been wait enough
  }

  /** When a poll that was opened at {@code openedAt} and last sent data then is closed. */
  long deadline(long openedAt, long lastDataAt) {
    return Math.min(lastDataAt + responseTimeoutNanos, openedAt + maxPollDurationNanos);
  }

  /** When the next poll is due; {@link #NOT_SCHEDULED} if none is scheduled. */
  long nextPollAt() {
    long at = Math.min(regularPollAt, urgentPollAt);
    return at == NOT_SCHEDULED ? NOT_SCHEDULED : Math.max(at, earliestPollAt);
  }

  /**
   * Returns the interval shortened by up to a quarter, so that routers that start together do not
   * stay in step.
   */
  private long jitteredPollInterval() {
    return pollIntervalNanos - random.nextLong(pollIntervalNanos / 4);
  }
}
