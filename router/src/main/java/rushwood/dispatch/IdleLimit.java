package rushwood.dispatch;

/**
 * An adaptive limit on how long a connection may have been idle and still be reused. Hosts close
 * idle connections after a known timeout. If a statement is written while the host closes the
 * connection, it is unknown whether the statement ran, so the limit stays far below that timeout.
 * Firewalls and similar devices may drop idle connections silently and much earlier: when a reused
 * connection breaks, the limit falls below the time that it had been idle, and recovers slowly.
 */
final class IdleLimit {
  /**
   * The limit is at most the hosts' idle timeout divided by this, so that a reuse does not race
   * with the close by the host.
   */
  private static final int HOST_TIMEOUT_DIVISOR = 2;

  /**
   * The lower bound of the limit; with a lower limit connections would only be opened more often.
   */
  private static final long MIN_LIMIT_NANOS = 100_000_000L;

  /** Each recovery raises the limit by its current value divided by this. */
  private static final int RECOVERY_DIVISOR = 4;

  private final long maxLimitNanos;
  private long limitNanos;

  /**
   * Creates a limit that starts at its maximum, half of the hosts' idle timeout.
   *
   * @param hostIdleTimeoutNanos the time after which hosts close an idle connection
   */
  IdleLimit(long hostIdleTimeoutNanos) {
    maxLimitNanos = hostIdleTimeoutNanos / HOST_TIMEOUT_DIVISOR;
    limitNanos = maxLimitNanos;
  }

  long nanos() {
    return limitNanos;
  }

  /** Raises the limit by one step, up to its maximum. */
  void recover() {
    limitNanos = Math.min(maxLimitNanos, limitNanos + limitNanos / RECOVERY_DIVISOR);
  }

  /**
   * Lowers the limit after a reused connection broke.
   *
   * @param idleNanos how long the connection had been idle before its reuse
   */
  void reuseFailed(long idleNanos) {
    if (idleNanos > MIN_LIMIT_NANOS) {
      limitNanos = Math.min(limitNanos, Math.max(MIN_LIMIT_NANOS, idleNanos / 2));
    }
  }
}
