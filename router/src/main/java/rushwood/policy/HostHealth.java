package rushwood.policy;

import rushwood.api.Times;

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

  private Status status = Status.HEALTHY;
  private long ejectedAt = Times.LONG_AGO;
  private long nextTrialAt = Times.LONG_AGO;
  private long lastAnswerAt = Times.LONG_AGO;
  private long connectPausedUntil = Times.LONG_AGO;
  private boolean healthCheckInFlight;

  Status status() {
    return status;
  }

  boolean isHealthy() {
    return status == Status.HEALTHY;
  }

  boolean isUnreachable() {
    return status == Status.UNREACHABLE;
  }

  boolean isUnresponsive() {
    return status == Status.UNRESPONSIVE;
  }

  /** The {@link OutlierDetector} excludes the host from selection. */
  void eject(Status newStatus, long now) {
    status = newStatus;
    ejectedAt = now;
  }

  /** The host answers again, or its process has started anew. */
  void restore() {
    status = Status.HEALTHY;
  }

  /** When the host was last ejected. */
  long ejectedAt() {
    return ejectedAt;
  }

  /**
   * Whether the next health check or trial request may be sent; counts only while the host is
   * ejected.
   */
  boolean isTrialTimeReached(long now) {
    return now >= nextTrialAt;
  }

  /** The {@link HealthCheckPolicy} allows the next health check or trial request at that time. */
  void scheduleTrial(long time) {
    nextTrialAt = time;
  }

  /** The host has answered an attempt, if only to refuse it. */
  void answered(long now) {
    lastAnswerAt = now;
    connectPausedUntil = Times.LONG_AGO;
  }

  /** The router may open no connection to the host; holds until then, or until it answers. */
  void pauseConnects(long until) {
    connectPausedUntil = until;
  }

  /** Whether attempts would have to wait for a connection that may not be opened yet. */
  boolean areConnectsPaused(long now) {
    return now < connectPausedUntil;
  }

  /** When the host last answered an attempt; {@link Times#LONG_AGO} if it never did. */
  long lastAnswerAt() {
    return lastAnswerAt;
  }

  void healthCheckStarted() {
    healthCheckInFlight = true;
  }

  void healthCheckEnded() {
    healthCheckInFlight = false;
  }

  boolean isHealthCheckInFlight() {
    return healthCheckInFlight;
  }
}
