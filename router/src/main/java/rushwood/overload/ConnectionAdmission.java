package rushwood.overload;

/**
 * Knows the connections of all clients and what each of them does, how many there may be, and by
 * {@link EvictionPolicy} which of them has to end for others. Times are clock times in nanoseconds.
 *
 * <p>Every call takes constant time, but for {@link #decideOverLimit}, which also moves connections
 * whose Retry-After time is over. Only decisions allocate.
 */
public final class ConnectionAdmission {
  private final ConnectionsByState connections = new ConnectionsByState();
  private final ConnectionReuseEstimate reuseEstimate = new ConnectionReuseEstimate();
  private final EvictionPolicy evictionPolicy;
  private int maxConnections;

  /**
   * Creates an admission without connections.
   *
   * @param maxConnections how many connections there may be
   * @param maxRetryAfterNanos the longest Retry-After time that clients are told
   */
  public ConnectionAdmission(int maxConnections, long maxRetryAfterNanos) {
    this.maxConnections = maxConnections;
    evictionPolicy = new EvictionPolicy(connections, reuseEstimate, maxRetryAfterNanos);
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
   * that have never sent a request are closed for others; idle ones are kept.
   */
  public void startShutdown() {
    evictionPolicy.startShutdown();
  }

  /**
   * Which connection has to end while {@link #isOverLimit}. Call this only after all sockets were
   * read: under CPU shortage a first request may wait there unread.
   */
  public EvictionDecision decideOverLimit(long now) {
    return evictionPolicy.decideOverLimit(now);
  }

  /** Which connection has to end although the limit is not reached. */
  public EvictionDecision decideBelowLimit(long now) {
    return evictionPolicy.decideBelowLimit(maxConnections, now);
  }
}
