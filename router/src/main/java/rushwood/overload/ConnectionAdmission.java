package rushwood.overload;

/**
 * Decides which client connections may stay when there are as many as the router may hold, and
 * which of the idle ones to close early.
 *
 * <p>A connection is never closed for another while it has a request, has sent a part of a message,
 * or waits for the Retry-After time that its client was told. Connections without a first request
 * are closed first, then those that have been idle longest.
 *
 * <p>Each connection is in the list of its state, so every call takes constant time, but for {@link
 * #connectionToClose}, which moves connections whose Retry-After time is over.
 */
public final class ConnectionAdmission {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  // An idle connection may be closed after this. With longer times, clients that send one request
  // and keep the connection shut others out when 300 a second came. The cost: a client that has a
  // second request a moment later connects again. Leaving new connections unaccepted instead was
  // tried: the kernel's queue, which the router cannot see, grew to two seconds.
  private static final long MIN_IDLE_NANOS = 100 * NANOS_PER_MILLI;
  // A connection without its first request may be closed after this. Of 1,770 connections 1,700
  // sent it in the event loop turn of the accept, all others within 64 ms. The cost: clients on
  // slow networks are closed too early while the router is at its limit.
  private static final long FIRST_REQUEST_TIMEOUT_NANOS = 150 * NANOS_PER_MILLI;
  // An eighth of the connections may be idle however rare reuse is.
  private static final int IDLE_ALLOWANCE_DIVISOR = 8;
  // How late a client may return after its Retry-After time; not measured.
  private static final long RETURN_TOLERANCE_NANOS = 250 * NANOS_PER_MILLI;

  private final ConnectionsByState connections = new ConnectionsByState();
  private final ConnectionReuseEstimate reuseEstimate = new ConnectionReuseEstimate();
  private final long maxRetryAfterNanos;
  private int maxConnections;
  private boolean shuttingDown;

  /**
   * Creates an admission without connections.
   *
   * @param maxConnections how many connections there may be
   * @param maxRetryAfterNanos the longest Retry-After time that clients are told
   */
  public ConnectionAdmission(int maxConnections, long maxRetryAfterNanos) {
    this.maxConnections = maxConnections;
    this.maxRetryAfterNanos = maxRetryAfterNanos;
  }

  /** How many connections are admitted; may exceed the limit until the caller has closed some. */
  public int openConnections() {
    return connections.count();
  }

  /** How many connections are in that state. */
  public int openConnections(ConnectionState state) {
    return connections.count(state);
  }

  /** How many connections there may be. */
  public int maxConnections() {
    return maxConnections;
  }

  /** Changes how many connections there may be, one at least. */
  public void setMaxConnections(int maxConnections) {
    this.maxConnections = Math.max(1, maxConnections);
  }

  /** Whether connections must be closed. */
  public boolean isOverLimit() {
    return connections.count() > maxConnections;
  }

  /** Admits a connection, also above the limit. The caller removes it when it closes. */
  public AdmittedConnection admit(Object owner, long now) {
    AdmittedConnection connection = new AdmittedConnection(owner, now);
    connections.add(connection);
    return connection;
  }

  /**
   * Sets what the connection does from now on; has no effect on a removed one. Setting the same
   * state again starts it anew, except for {@code NEW}: there the time of the accept counts.
   */
  public void setState(AdmittedConnection connection, ConnectionState state, long now) {
    boolean isStillNew = state == ConnectionState.NEW && connection.state() == state;
    if (!connection.isRemoved() && !isStillNew) {
      connections.move(connection, state, now);
    }
  }

  /** Removes a connection that is closed; has no effect on a removed one. */
  public void remove(AdmittedConnection connection) {
    if (!connection.isRemoved()) {
      connections.remove(connection);
    }
  }

  /** A request arrived; {@code onUsedConnection} unless it is the first on its connection. */
  public void recordRequest(boolean onUsedConnection) {
    reuseEstimate.recordRequest(onUsedConnection);
  }

  /**
   * From now on clients that lose a connection cannot open another here, so that only connections
   * without a request are closed for others.
   */
  public void startShutdown() {
    shuttingDown = true;
  }

  /** An idle connection to close although the limit is not reached, or null. */
  public AdmittedConnection idleToClose(long now) {
    boolean manyIdle =
        openConnections(ConnectionState.IDLE) > maxConnections / IDLE_ALLOWANCE_DIVISOR;
    return manyIdle && reuseEstimate.isReuseRare() ? longestIdle(now) : null;
  }

  /**
   * The connection to close while {@link #isOverLimit}, or null if none may be; then the newest is
   * to be refused. Call this only after all sockets were read: under CPU shortage a first request
   * may wait there unread.
   */
  public AdmittedConnection connectionToClose(long now) {
    endOverdueRetries(now);
    AdmittedConnection oldestNew = connections.oldest(ConnectionState.NEW);
    if (oldestNew != null && oldestNew.isInStateFor(FIRST_REQUEST_TIMEOUT_NANOS, now)) {
      return oldestNew;
    }
    return longestIdle(now);
  }

  /** The newest connection without a request, which is to be refused, or null. */
  public AdmittedConnection newestWithoutRequest() {
    return connections.newest(ConnectionState.NEW);
  }

  private AdmittedConnection longestIdle(long now) {
    AdmittedConnection longestIdle = connections.oldest(ConnectionState.IDLE);
    boolean mayClose =
        longestIdle != null && !shuttingDown && longestIdle.isInStateFor(MIN_IDLE_NANOS, now);
    return mayClose ? longestIdle : null;
  }

  /** Clients that did not return count as idle since the end of their Retry-After time. */
  private void endOverdueRetries(long now) {
    long overdueNanos = maxRetryAfterNanos + RETURN_TOLERANCE_NANOS;
    AdmittedConnection oldest = connections.oldest(ConnectionState.AWAITING_RETRY);
    while (oldest != null && oldest.isInStateFor(overdueNanos, now)) {
      setState(oldest, ConnectionState.IDLE, oldest.stateSince() + maxRetryAfterNanos);
      oldest = connections.oldest(ConnectionState.AWAITING_RETRY);
    }
  }
}
