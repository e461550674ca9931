package rushwood.discovery;

/**
 * Decides how long a router that has just started may use the endpoint list that its former process
 * held, before discovery has sent one. The agent may know of drains that this list does not show.
 * They count as notified from the start of the process, also while the agent is silent, so that any
 * host of the list may have to be left alone once the drain grace is over.
 *
 * <ul>
 *   <li>The lease ends a drain grace after the start of the process, less the time by which a write
 *       may come late.
 *   <li>While the lease lasts, the router waits for a first list for a part of it, and then serves
 *       with the cached list.
 *   <li>Once the lease has ended, the cached list may not be used. A router that does not listen
 *       yet waits until a list comes, as clients find other routers, but not so long that it is
 *       taken for one that cannot start.
 * </ul>
 *
 * <p>Does no I/O. Times are nanoseconds of the caller's clock.
 */
public final class CachedListLease {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * The time from the start of the process to that of the program is not known. It is at most this
   * multiple of the time that the program then needs to read its configuration, on a slow machine
   * too.
   */
  private static final double MAX_RUNTIME_START_MULTIPLE = 1.5;

  /** How long a process may be held up between reading its clock and writing. */
  private static final long MAX_HOLD_UP_NANOS = 150 * NANOS_PER_MILLI;

  /** The discovery agent runs on the same machine and usually answers at once. */
  private static final long MAX_WAIT_DURING_LEASE_NANOS = 1000 * NANOS_PER_MILLI;

  /** The share of the rest of the lease for which to wait is one divided by this. */
  private static final int WAIT_DIVISOR = 8;

  /** A router is expected to listen 10 s after the start of its process. */
  private static final long MAX_WAIT_AFTER_START_NANOS = 9000 * NANOS_PER_MILLI;

  private final long startedAt;
  private final long endsAt;

  /**
   * Creates the lease of a process.
   *
   * @param startedAt the start of the program
   * @param configuredAt the time at which the program had read its configuration
   * @param drainGraceNanos how long a draining or removed endpoint may still receive new requests
   */
  public CachedListLease(long startedAt, long configuredAt, long drainGraceNanos) {
    this.startedAt = startedAt;
    long runtimeStartNanos = (long) (MAX_RUNTIME_START_MULTIPLE * (configuredAt - startedAt));
    endsAt = startedAt + drainGraceNanos - runtimeStartNanos - MAX_HOLD_UP_NANOS;
  }

  /** Returns the time from which on the cached list may not be used, which may be over already. */
  public long endsAt() {
    return endsAt;
  }

  /** Returns until when a router that could listen now waits for a first list. */
  public long waitsUntil(long now) {
    long remainingNanos = endsAt - now;
    if (remainingNanos > 0) {
      return now + Math.min(remainingNanos / WAIT_DIVISOR, MAX_WAIT_DURING_LEASE_NANOS);
    }
    return Math.max(now, startedAt + MAX_WAIT_AFTER_START_NANOS);
  }
}
