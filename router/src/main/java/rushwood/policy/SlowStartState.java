package rushwood.policy;

/**
 * The start time of a host process, the work that the host may still get during slow start, and the
 * rate at which it completes work. Work is expected service time in nanoseconds.
 */
final class SlowStartState {
  /** The start time of a process that started long ago or at an unknown time. */
  private static final long STARTED_LONG_AGO = 0;

  /** Work that may still be sent to the host during slow start. */
  final TokenBucket tokens = new TokenBucket();

  private final ExponentialAverage completedWorkRate = new ExponentialAverage(0);
  private long startedAt = STARTED_LONG_AGO;
  private double completedWork;

  /** Returns the start of the host process as a clock time in nanoseconds; 0 for long ago. */
  long startedAt() {
    return startedAt;
  }

  void processStarted(long time) {
    startedAt = time;
  }

  /** Returns the age of the host process; {@code Long.MAX_VALUE} if it started long ago. */
  long ageNanos(long now) {
    return startedAt == STARTED_LONG_AGO ? Long.MAX_VALUE : now - startedAt;
  }

  /** Returns whether the tokens were last refilled before the process started. */
  boolean hasTokensOfEarlierProcess() {
    return tokens.refilledAt() < startedAt;
  }

  void recordCompletedWork(double work) {
    completedWork += work;
  }

  /** Returns the work that the host completes per nanosecond, as of the last update. */
  double completedWorkRate() {
    return completedWorkRate.value();
  }

  /**
   * Adds the work completed in the {@code elapsedNanos} since the last update to the moving
   * average.
   */
  void updateWorkRate(long elapsedNanos, double smoothing) {
    completedWorkRate.add(completedWork / elapsedNanos, smoothing);
    completedWork = 0;
  }
}
