package rushwood.discovery;

import java.util.random.RandomGenerator;

/**
 * Schedules the polls for the complete list. All delays derive from G, the maximum staleness of the
 * router's list, which is the drain grace but at most 4 s:
 *
 * <ul>
 *   <li>After a complete response, the next poll follows in 3/8 G to G/2 ({@link #pollCompleted}).
 *   <li>After a list with invalid parts, it follows in the same time ({@link #pollWithinInterval}).
 *   <li>After a failure or an ignored list, and at the start, it follows at once, but not earlier
 *       than G/8 to G/4 after the start of the last poll ({@link #pollUrgently}).
 *   <li>After a timeout or a change of the agent's address, it follows at once ({@link
 *       #pollImmediately}).
 *   <li>A poll times out if it has received nothing for G/4 or is not complete after G; a longer
 *       limit applies after a timeout in mid-response ({@link #deadline}, {@link #pollTimedOut}).
 *   <li>One poll that timed out is kept open beside the next ones, so that an agent is heard that
 *       answers every call late or in parts with gaps: its response may start within {@link
 *       #MAX_RESPONSE_DELAY_NANOS} and may pause for G/4 or {@link
 *       #MAX_GAP_IN_LATE_RESPONSE_NANOS}, the longer of the two ({@link #latePollDeadline}).
 * </ul>
 *
 * <p>Delays do not grow while the agent is down: the agent serves only this router, so there is no
 * shared server to protect, and longer delays would exceed the maximum staleness. All times are
 * nanoseconds of the caller's clock.
 */
final class PollSchedule {
  /** Time of a poll that is not scheduled; later than any other time. */
  static final long NOT_SCHEDULED = Long.MAX_VALUE;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Minimum of the poll interval and the response timeout at any drain grace. 40 polls a second are
   * a negligible load for an agent nearby.
   */
  private static final long MIN_INTERVAL_NANOS = 25 * NANOS_PER_MILLI;

  /**
   * Upper limit of the maximum staleness. The platform expects the router to comply with a change
   * within 6 s after the agent has it. A poll interval and two response timeouts add up to this
   * value, which leaves 2 s.
   */
  private static final long MAX_STALENESS_NANOS = 4000 * NANOS_PER_MILLI;

  /** The time within which the platform expects the router to comply with a change. */
  private static final long MAX_RESPONSE_DELAY_NANOS = 6000 * NANOS_PER_MILLI;

  /** Leaves time for another late poll within {@link #MAX_RESPONSE_DELAY_NANOS}. */
  private static final long MAX_GAP_IN_LATE_RESPONSE_NANOS = 1000 * NANOS_PER_MILLI;

  /** Maximum duration of a poll whose data keeps arriving, in response timeouts. */
  private static final int MAX_RESPONSE_TIMEOUTS_PER_POLL = 4;

  private final RandomGenerator random;
  private final long pollIntervalNanos;
  private final long responseTimeoutNanos;
  private long maxPollDurationNanos;
  private long regularPollAt = NOT_SCHEDULED;
  private long urgentPollAt = NOT_SCHEDULED;
  private long earliestPollAt = Long.MIN_VALUE; // no limit before the first poll

  /**
   * Creates a schedule without polls.
   *
   * @param drainGraceNanos how long a draining or removed endpoint may still receive new requests
   * @param random source of the jitter
   */
  PollSchedule(long drainGraceNanos, RandomGenerator random) {
    this.random = random;
    long maxStalenessNanos = Math.min(drainGraceNanos, MAX_STALENESS_NANOS);
    pollIntervalNanos = Math.max(MIN_INTERVAL_NANOS, maxStalenessNanos / 2);
    responseTimeoutNanos = Math.max(MIN_INTERVAL_NANOS, maxStalenessNanos / 4);
    maxPollDurationNanos = MAX_RESPONSE_TIMEOUTS_PER_POLL * responseTimeoutNanos;
  }

  /**
   * Schedules a poll as early as the minimum time since the start of the last poll permits, because
   * the list may be out of date.
   */
  void pollUrgently(long now) {
    urgentPollAt = Math.min(urgentPollAt, now);
  }

  /** Schedules a poll for now, without a minimum time since the last poll. */
  void pollImmediately(long now) {
    earliestPollAt = now;
    pollUrgently(now);
  }

  /** Schedules a poll in a jittered interval at the latest. */
  void pollWithinInterval(long now) {
    urgentPollAt = Math.min(urgentPollAt, now + jitteredPollInterval());
  }

  /** Records that a poll was opened, and clears the schedule. */
  void pollStarted(long now) {
    regularPollAt = NOT_SCHEDULED;
    urgentPollAt = NOT_SCHEDULED;
    earliestPollAt = now + responseTimeoutNanos / 2 + random.nextLong(responseTimeoutNanos / 2);
  }

  /** Schedules the next poll after a complete response. */
  void pollCompleted(long now) {
    maxPollDurationNanos = MAX_RESPONSE_TIMEOUTS_PER_POLL * responseTimeoutNanos;
    regularPollAt = now + jitteredPollInterval();
  }

  /**
   * Schedules the next poll after one was closed at its deadline. If a response had started, the
   * next poll may take twice as long, up to the heartbeat interval, because the list may be long.
   */
  void pollTimedOut(long now, boolean responseStarted) {
    if (responseStarted) {
      long limit = Math.max(maxPollDurationNanos, DiscoveryProtocol.HEARTBEAT_NANOS);
      maxPollDurationNanos = Math.min(2 * maxPollDurationNanos, limit);
    }
    pollImmediately(now); // the timeout is enough time since the last poll
  }

  /** Returns when to close a poll, given when it was opened and when it last received data. */
  long deadline(long openedAt, long lastDataAt) {
    return Math.min(lastDataAt + responseTimeoutNanos, openedAt + maxPollDurationNanos);
  }

  /**
   * Returns when to close a late poll, given when it was opened and, if its response has started,
   * when it last received data.
   */
  long latePollDeadline(long openedAt, long lastDataAt) {
    long latestStart = openedAt + MAX_RESPONSE_DELAY_NANOS;
    long maxGapNanos = Math.max(responseTimeoutNanos, MAX_GAP_IN_LATE_RESPONSE_NANOS);
    return lastDataAt > openedAt
        ? Math.min(lastDataAt + maxGapNanos, latestStart + maxPollDurationNanos)
        : latestStart;
  }

  /** Returns the time of the next poll, {@link #NOT_SCHEDULED} if there is none. */
  long nextPollAt() {
    long at = Math.min(regularPollAt, urgentPollAt);
    return at == NOT_SCHEDULED ? NOT_SCHEDULED : Math.max(at, earliestPollAt);
  }

  /**
   * Returns the poll interval shortened by up to a quarter, so that routers that start together do
   * not keep polling at the same time.
   */
  private long jitteredPollInterval() {
    return pollIntervalNanos - random.nextLong(pollIntervalNanos / 4);
  }
}
