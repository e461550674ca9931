package rushwood.dispatch;

/**
 * How long a connection may have been idle and still be reused. Hosts close idle connections after
 * a known time, and a statement that meets such a close may have run; so the limit stays far below.
 * Firewalls and the like may drop idle connections much earlier and silently: when a connection
 * breaks at its reuse, the limit falls below the time that it was idle, and recovers slowly.
 */
final class IdleLimit {
  /** The limit's share of the hosts' idle timeout: far enough from it to lose no race. */
  private static final int HOST_TIMEOUT_DIVISOR = 2;

  /** The limit never falls below this; a lower one only has connections opened more often. */
  private static final long MIN_LIMIT_NANOS = 100_000_000L;

  /** Each recovery raises the limit by this part of it. */
  private static final int RECOVERY_DIVISOR = 4;

  private final long maxLimitNanos;
  private long limitNanos;

  /** Starts at half of the time after which hosts close an idle connection. */
  IdleLimit(long hostIdleTimeoutNanos) {
    maxLimitNanos = hostIdleTimeoutNanos / HOST_TIMEOUT_DIVISOR;
    limitNanos = maxLimitNanos;
  }

  long nanos() {
    return limitNanos;
  }

  /** Raises the limit a step, up to where it started. */
  void recover() {
    limitNanos = Math.min(maxLimitNanos, limitNanos + limitNanos / RECOVERY_DIVISOR);
  }

  /** Lowers the limit after a connection broke that had been idle for so long before its use. */
  void reuseFailed(long idleNanos) {
    if (idleNanos > MIN_LIMIT_NANOS) {
      limitNanos = Math.min(limitNanos, Math.max(MIN_LIMIT_NANOS, idleNanos / 2));
    }
  }
}
