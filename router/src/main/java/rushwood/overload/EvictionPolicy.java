package rushwood.overload;

import org.jspecify.annotations.Nullable;
import rushwood.overload.EvictionDecision.Action;

/**
 * Decides which connection of a client ends so that others find a descriptor.
 *
 * <p>{@linkplain #decideOverLimit Over the limit} the first of these cases holds:
 *
 * <ol>
 *   <li>No first request has come within {@link #FIRST_REQUEST_TIMEOUT_NANOS} of the accept: close
 *       the oldest such connection. Clients that mean to send a request do so at once.
 *   <li>A connection has been idle for {@link #MIN_IDLE_NANOS}, and the router does not shut down:
 *       close the one that has been idle for longest. During shutdown its client could not open
 *       another one here.
 *   <li>There is a connection without a first request: refuse the newest, which has waited least.
 *   <li>Else none: all others have a request, were idle a moment ago, or wait for the Retry-After
 *       time that their clients were told.
 * </ol>
 *
 * <p>{@linkplain #decideBelowLimit Below the limit} the second case holds too, where few clients
 * {@linkplain ConnectionReuseEstimate reuse} their connection and more than an eighth of the
 * allowed connections are idle. A proxy that allows each router a number of connections has none
 * left for other clients otherwise.
 *
 * <p>A client that has not returned {@link #RETURN_TOLERANCE_NANOS} after the longest Retry-After
 * time counts as idle since the end of that time.
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

  /** Decides over the given connections, which their owner keeps up to date. */
  EvictionPolicy(
      ConnectionsByState connections,
      ConnectionReuseEstimate reuseEstimate,
      long maxRetryAfterNanos) {
    this.connections = connections;
    this.reuseEstimate = reuseEstimate;
    this.maxRetryAfterNanos = maxRetryAfterNanos;
  }

  /** From now on idle connections are kept. */
  void startShutdown() {
    shuttingDown = true;
  }

  /** Which connection ends while there are more than allowed. */
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

  /** Which connection ends although there are no more than {@code maxConnections}. */
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
