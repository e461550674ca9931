package rushwood.policy;

/**
 * What slow start knows of a host: the start of its process, the work that it may still get, and
 * the rate at which it completes work. Work is expected service time in nanoseconds.
 */
final class SlowStartState {
  /** The start time of a process that started longer ago than slow start lasts. */
  private static final long LONG_AGO = 0;

  /** Work that may still be sent to the host during slow start. */
  final TokenBucket tokens = new TokenBucket();

  private final ExponentialAverage completedWorkRate = new ExponentialAverage(0);
  private long startedAt = LONG_AGO;
  private double completedWork;

  /** When the process of the host started, as a clock time; 0 for long ago. */
  long startedAt() {
    return startedAt;
  }

  void processStarted(long time) {
    startedAt = time;
  }

  /** How long ago the process started; the maximum if that was long ago. */
  long ageNanos(long now) {
    return startedAt == LONG_AGO ? Long.MAX_VALUE : now - startedAt;
  }

  /** Whether the tokens have not been refilled since the process started. */
  boolean hasTokensOfEarlierProcess() {
    return tokens.refilledAt() < startedAt;
  }

  void recordCompletedWork(double work) {
    completedWork += work;
  }

  /** The work that the host completes a nanosecond, as of the last update. */
  double completedWorkRate() {
    return completedWorkRate.value();
  }

  /** Takes in what was completed in the {@code elapsedNanos} since the last update. */
  void updateWorkRate(long elapsedNanos, double smoothing) {
    completedWorkRate.add(completedWork / elapsedNanos, smoothing);
    completedWork = 0;
  }
}
