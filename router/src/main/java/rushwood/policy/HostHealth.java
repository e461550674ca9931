package rushwood.policy;

import rushwood.api.Times;

/**
 * Whether a host is reachable and responsive, as far as this router knows, and when it may be tried
 * again. Times are clock times in nanoseconds.
 */
final class HostHealth {
  enum Status {
    HEALTHY,
    /** Connections to the host fail or break. */
    UNREACHABLE,
    /** The host accepts attempts but answers none. */
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

  /** Excludes the host from selection; called by {@link OutlierDetector}. */
  void eject(Status newStatus, long now) {
    status = newStatus;
    ejectedAt = now;
  }

  /** Marks the host as healthy: it answers again, or its process has restarted. */
  void restore() {
    status = Status.HEALTHY;
  }

  /** Returns when the host was last ejected; {@link Times#LONG_AGO} if never. */
  long ejectedAt() {
    return ejectedAt;
  }

  /**
   * Returns whether the next health check or trial request may be sent; only meaningful while the
   * host is ejected.
   */
  boolean isTrialTimeReached(long now) {
    return now >= nextTrialAt;
  }

  /** Allows the next health check or trial request from the given time on. */
  void scheduleTrial(long time) {
    nextTrialAt = time;
  }

  /**
   * Records that the host answered an attempt, which may be a refusal, and ends a connect pause.
   */
  void answered(long now) {
    lastAnswerAt = now;
    connectPausedUntil = Times.LONG_AGO;
  }

  /**
   * Records that no connection to the host may be opened until the given time, or until it answers.
   */
  void pauseConnects(long until) {
    connectPausedUntil = until;
  }

  /** Returns whether attempts would have to wait for a connection that may not be opened yet. */
  boolean areConnectsPaused(long now) {
    return now < connectPausedUntil;
  }

  /** Returns when the host last answered an attempt; {@link Times#LONG_AGO} if never. */
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
