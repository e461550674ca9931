package rushwood.policy;

/**
 * Whether a host can be reached and answers, as far as this router knows, and what it has done to
 * find out. Times are clock times in nanoseconds.
 */
final class HostHealth {
  enum Status {
    HEALTHY,
    /** Connections to it fail or break. */
    UNREACHABLE,
    /** It accepts attempts and answers none. */
    UNRESPONSIVE
  }

  Status status = Status.HEALTHY;

  /** When it was last ejected; counts only while it is not healthy. */
  long ejectedAt;

  /**
   * When the next health check or trial request may be sent; counts only while it is not healthy.
   */
  long nextTrialAt;

  /** When it last answered an attempt, if only to refuse it. */
  long lastAnswerAt = HostState.NEVER;

  boolean healthCheckInFlight;

  void eject(Status newStatus, long now) {
    status = newStatus;
    ejectedAt = now;
  }

  void restore() {
    status = Status.HEALTHY;
  }
}
