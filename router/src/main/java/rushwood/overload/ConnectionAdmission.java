package rushwood.overload;

/**
 * Keeps track of all client connections and their states, limits their number, and chooses with an
 * {@link EvictionPolicy} which of them to close or refuse. Times are clock times in nanoseconds.
 *
 * <p>Every call takes constant time, except {@link #decideOverLimit}, which also updates
 * connections whose Retry-After time is over. Only {@link #admit} and the decisions allocate
 * memory.
 */
public final class ConnectionAdmission {
  private final ConnectionsByState connections = new ConnectionsByState();
  private final ConnectionReuseEstimate reuseEstimate = new ConnectionReuseEstimate();
  private final EvictionPolicy evictionPolicy;
  private int maxConnections;

  /**
   * Creates an admission without connections.
   *
   * @param maxConnections the limit on open client connections
   * @param maxRetryAfterNanos the longest Retry-After that a client is sent
   */
  public ConnectionAdmission(int maxConnections, long maxRetryAfterNanos) {
    this.maxConnections = maxConnections;
    evictionPolicy = new EvictionPolicy(connections, reuseEstimate, maxRetryAfterNanos);
  }

  /**
   * Returns the number of admitted connections. It may exceed the limit until the caller has closed
   * some.
   */
  public int openConnections() {
    return connections.count();
  }

  /** Returns the number of connections in a state. */
  public int openConnections(ConnectionState state) {
    return connections.count(state);
  }

  /** Returns the limit on open client connections. */
  public int maxConnections() {
    return maxConnections;
  }

  /** Sets the limit on open client connections; a limit below 1 counts as 1. */
  public void setMaxConnections(int maxConnections) {
    this.maxConnections = Math.max(1, maxConnections);
  }

  /** Returns whether there are more connections than the limit allows. */
  public boolean isOverLimit() {
    return connections.count() > maxConnections;
  }

  /**
   * Admits a connection, even above the limit. The caller removes it when the connection closes.
   */
  public AdmittedConnection admit(Object owner, long now) {
    AdmittedConnection connection = new AdmittedConnection(owner, now);
    connections.add(connection);
    return connection;
  }

  /**
   * Sets the state of a connection; has no effect on a removed one. Setting the same state again
   * restarts the time in that state, except for {@code NEW}, which counts from the accept.
   */
  public void setState(AdmittedConnection connection, ConnectionState state, long now) {
    boolean isStillNew = state == ConnectionState.NEW && connection.state() == state;
    if (!connection.isRemoved() && !isStillNew) {
      connections.move(connection, state, now);
    }
  }

  /** Removes a closed connection; has no effect if it has been removed already. */
  public void remove(AdmittedConnection connection) {
    if (!connection.isRemoved()) {
      connections.remove(connection);
    }
  }

  /**
   * Records the arrival of a request.
   *
   * @param onReusedConnection whether an earlier request came on the same connection
   */
  public void recordRequest(boolean onReusedConnection) {
    reuseEstimate.recordRequest(onReusedConnection);
  }

  /**
   * Keeps idle connections open from now on: during shutdown a client that loses its connection
   * cannot open another one here. Only connections that have never sent a request are still closed
   * or refused.
   */
  public void startShutdown() {
    evictionPolicy.startShutdown();
  }

  /**
   * Chooses the connection to close or refuse while {@link #isOverLimit}. Call this only after all
   * sockets have been read: under CPU shortage a first request may still be unread in its socket.
   */
  public EvictionDecision decideOverLimit(long now) {
    return evictionPolicy.decideOverLimit(now);
  }

  /** Chooses the idle connection to close, if any, although the limit is not exceeded. */
  public EvictionDecision decideBelowLimit(long now) {
    return evictionPolicy.decideBelowLimit(maxConnections, now);
  }
}
