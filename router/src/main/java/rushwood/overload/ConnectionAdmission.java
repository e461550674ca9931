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
  /** What a connection does, in the order in which it may be closed. */
  public enum ConnectionState {
    /** It has not sent a request since it was accepted. */
    NEW,
    /** Its last request was answered. */
    IDLE,
    /** Its last request was rejected with a Retry-After time. */
    AWAITING_RETRY,
    /** It has a request, or has sent a part of a message; it is never closed. */
    BUSY
  }

  /** A connection that was admitted, as a node of the list of its state. */
  public static final class AdmittedConnection {
    private final Object owner;
    private ConnectionState state;
    private long since;
    private AdmittedConnection previous;
    private AdmittedConnection next;

    private AdmittedConnection(Object owner) {
      this.owner = owner;
    }

    /** The object that was given to {@link ConnectionAdmission#admit}. */
    public Object owner() {
      return owner;
    }

    /** The state, or null once the connection was removed. */
    public ConnectionState state() {
      return state;
    }

    private boolean isRemoved() {
      return state == null;
    }

    /** Whether it has been in its state for that long. */
    private boolean isUnchangedFor(long nanos, long now) {
      return since <= now - nanos;
    }
  }

  /** A doubly linked list, oldest first, closed to a ring by an anchor. */
  private static final class ConnectionList {
    private final AdmittedConnection anchor = new AdmittedConnection(null);
    private int length;

    ConnectionList() {
      anchor.previous = anchor;
      anchor.next = anchor;
    }

    void add(AdmittedConnection connection) {
      connection.previous = anchor.previous;
      connection.next = anchor;
      anchor.previous.next = connection;
      anchor.previous = connection;
      length++;
    }

    void remove(AdmittedConnection connection) {
      connection.previous.next = connection.next;
      connection.next.previous = connection.previous;
      connection.previous = null;
      connection.next = null;
      length--;
    }

    AdmittedConnection oldest() {
      return length == 0 ? null : anchor.next;
    }

    AdmittedConnection newest() {
      return length == 0 ? null : anchor.previous;
    }
  }

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
  // Where fewer than this share of the requests come on a connection that had one before, clients
  // send one request and keep the connection, and a proxy that allows each router a number of
  // connections has none left: 124 were idle while 77% of the tries found no connection and half
  // of the router's descriptors were free. Idle connections are closed below the limit then. No
  // cost was seen; a client that would have reused its connection opens another.
  private static final double MIN_REUSE_SHARE = 0.5;
  // Weight of the latest request in the reuse share: about fifty requests count.
  private static final double REUSE_SMOOTHING_WEIGHT = 0.02;
  // An eighth of the connections may be idle however rare reuse is.
  private static final int IDLE_ALLOWANCE_DIVISOR = 8;
  // How late a client may return after its Retry-After time; not measured.
  private static final long RETURN_TOLERANCE_NANOS = 250 * NANOS_PER_MILLI;

  private final ConnectionList[] connectionsByState =
      new ConnectionList[ConnectionState.values().length];
  private final long maxRetryAfterNanos;
  private int maxConnections;
  private int openConnections;
  private double reuseShare = 1;
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
    for (int i = 0; i < connectionsByState.length; i++) {
      connectionsByState[i] = new ConnectionList();
    }
  }

  /** How many connections are admitted; may exceed the limit until the caller has closed some. */
  public int openConnections() {
    return openConnections;
  }

  /** How many connections are in that state. */
  public int openConnections(ConnectionState state) {
    return inState(state).length;
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
    return openConnections > maxConnections;
  }

  /** Admits a connection, also above the limit. The caller removes it when it closes. */
  public AdmittedConnection admit(Object owner, long now) {
    AdmittedConnection connection = new AdmittedConnection(owner);
    connection.state = ConnectionState.NEW;
    connection.since = now;
    inState(ConnectionState.NEW).add(connection);
    openConnections++;
    return connection;
  }

  /**
   * Sets what the connection does from now on; has no effect on a removed one. Setting the same
   * state again starts it anew, except for {@code NEW}: there the time of the accept counts.
   */
  public void setState(AdmittedConnection connection, ConnectionState state, long now) {
    boolean isStillNew = state == ConnectionState.NEW && connection.state == state;
    if (connection.isRemoved() || isStillNew) {
      return;
    }
    inState(connection.state).remove(connection);
    connection.state = state;
    connection.since = now;
    inState(state).add(connection);
  }

  /** Removes a connection that is closed; has no effect on a removed one. */
  public void remove(AdmittedConnection connection) {
    if (connection.isRemoved()) {
      return;
    }
    inState(connection.state).remove(connection);
    connection.state = null;
    openConnections--;
  }

  /** A request arrived; {@code onUsedConnection} unless it is the first on its connection. */
  public void recordRequest(boolean onUsedConnection) {
    reuseShare += ((onUsedConnection ? 1 : 0) - reuseShare) * REUSE_SMOOTHING_WEIGHT;
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
    return manyIdle && reuseShare < MIN_REUSE_SHARE ? longestIdle(now) : null;
  }

  /**
   * The connection to close while {@link #isOverLimit}, or null if none may be; then the newest is
   * to be refused. Call this only after all sockets were read: under CPU shortage a first request
   * may wait there unread.
   */
  public AdmittedConnection connectionToClose(long now) {
    endOverdueRetries(now);
    AdmittedConnection oldestNew = inState(ConnectionState.NEW).oldest();
    if (oldestNew != null && oldestNew.isUnchangedFor(FIRST_REQUEST_TIMEOUT_NANOS, now)) {
      return oldestNew;
    }
    return longestIdle(now);
  }

  /** The newest connection without a request, which is to be refused, or null. */
  public AdmittedConnection newestWithoutRequest() {
    return inState(ConnectionState.NEW).newest();
  }

  private ConnectionList inState(ConnectionState state) {
    return connectionsByState[state.ordinal()];
  }

  private AdmittedConnection longestIdle(long now) {
    AdmittedConnection longestIdle = inState(ConnectionState.IDLE).oldest();
    boolean mayClose =
        longestIdle != null && !shuttingDown && longestIdle.isUnchangedFor(MIN_IDLE_NANOS, now);
    return mayClose ? longestIdle : null;
  }

  /** Clients that did not return count as idle since the end of their Retry-After time. */
  private void endOverdueRetries(long now) {
    long overdueNanos = maxRetryAfterNanos + RETURN_TOLERANCE_NANOS;
    AdmittedConnection oldest = inState(ConnectionState.AWAITING_RETRY).oldest();
    while (oldest != null && oldest.isUnchangedFor(overdueNanos, now)) {
      setState(oldest, ConnectionState.IDLE, oldest.since + maxRetryAfterNanos);
      oldest = inState(ConnectionState.AWAITING_RETRY).oldest();
    }
  }
}
