package rushwood.overload;

import org.jspecify.annotations.Nullable;
import rushwood.overload.EvictionDecision.Action;

/**
 * Decides which client connection to close or refuse to free a descriptor.
 *
 * <p>{@linkplain #decideOverLimit Over the limit} the first of these cases applies:
 *
 * <ol>
 *   <li>A connection has sent no request within {@link #FIRST_REQUEST_TIMEOUT_NANOS} of its accept:
 *       close the oldest such connection. Clients usually send their first request at once.
 *   <li>A connection has been idle for {@link #MIN_IDLE_NANOS} and the router is not shutting down:
 *       close the one that has been idle for longest. During shutdown its client could not open
 *       another connection here.
 *   <li>A connection has not sent a request yet: refuse the newest, which has waited least.
 *   <li>Otherwise none: every connection is busy, has not been idle for long enough, waits for its
 *       Retry-After time, or is kept during shutdown.
 * </ol>
 *
 * <p>{@linkplain #decideBelowLimit Below the limit} the second case applies as well if few clients
 * {@linkplain ConnectionReuseEstimate reuse} their connections and more than {@link
 * #MAX_IDLE_SHARE} of the allowed connections are idle. If idle connections were kept, a proxy that
 * limits its connections to each router would have none left for other clients.
 *
 * <p>Over the limit, a connection whose client has not returned within {@link
 * #RETURN_TOLERANCE_NANOS} after the longest Retry-After time becomes idle, as of the end of that
 * time.
 */
final class EvictionPolicy {
  private static final long MIN_IDLE_NANOS = 100_000_000L;
  private static final long FIRST_REQUEST_TIMEOUT_NANOS = 150_000_000L;
  private static final long RETURN_TOLERANCE_NANOS = 250_000_000L;
  private static final double MAX_IDLE_SHARE = 0.125;

  private final ConnectionsByState connections;
  private final ConnectionReuseEstimate reuseEstimate;
  private final long maxRetryAfterNanos;
  private boolean shuttingDown;

  /** Creates a policy for the given connections, which the caller keeps up to date. */
  EvictionPolicy(
      ConnectionsByState connections,
      ConnectionReuseEstimate reuseEstimate,
      long maxRetryAfterNanos) {
    this.connections = connections;
    this.reuseEstimate = reuseEstimate;
    this.maxRetryAfterNanos = maxRetryAfterNanos;
  }

  /** Keeps idle connections open from now on. */
  void startShutdown() {
    shuttingDown = true;
  }

  /** Chooses the connection to close or refuse while there are more than the limit allows. */
  EvictionDecision decideOverLimit(long now) {
    moveOverdueRetriesToIdle(now);
    AdmittedConnection oldestNew = connections.oldest(ConnectionState.NEW);
    if (oldestNew != null && oldestNew.hasBeenInStateFor(FIRST_REQUEST_TIMEOUT_NANOS, now)) {
      return EvictionDecision.of(Action.CLOSE_UNUSED, oldestNew);
    }
    AdmittedConnection idle = findEvictableIdle(now);
    if (idle != null) {
      return EvictionDecision.of(Action.CLOSE_IDLE, idle);
    }
    AdmittedConnection newestNew = connections.newest(ConnectionState.NEW);
    return newestNew == null
        ? EvictionDecision.NONE
        : EvictionDecision.of(Action.REFUSE_NEWEST, newestNew);
  }

  /** Chooses the idle connection to close, if any, with at most {@code maxConnections} open. */
  EvictionDecision decideBelowLimit(int maxConnections, long now) {
    boolean manyIdle = connections.count(ConnectionState.IDLE) > maxConnections * MAX_IDLE_SHARE;
    AdmittedConnection idle =
        manyIdle && reuseEstimate.isReuseRare() ? findEvictableIdle(now) : null;
    return idle == null ? EvictionDecision.NONE : EvictionDecision.of(Action.CLOSE_IDLE, idle);
  }

  private @Nullable AdmittedConnection findEvictableIdle(long now) {
    AdmittedConnection longestIdle = connections.oldest(ConnectionState.IDLE);
    boolean mayClose =
        longestIdle != null && !shuttingDown && longestIdle.hasBeenInStateFor(MIN_IDLE_NANOS, now);
    return mayClose ? longestIdle : null;
  }

  private void moveOverdueRetriesToIdle(long now) {
    long overdueNanos = maxRetryAfterNanos + RETURN_TOLERANCE_NANOS;
    AdmittedConnection oldest = connections.oldest(ConnectionState.AWAITING_RETRY);
    while (oldest != null && oldest.hasBeenInStateFor(overdueNanos, now)) {
      long retryAfterEnd = oldest.stateSince() + maxRetryAfterNanos;
      connections.move(oldest, ConnectionState.IDLE, retryAfterEnd);
      oldest = connections.oldest(ConnectionState.AWAITING_RETRY);
    }
  }
}
