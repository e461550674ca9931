package rushwood.overload;

/**
 * The house of client connections: who is let in, and who goes for one that comes. A connection
 * with an access, half a message or a booked return never goes; one that stays silent goes first,
 * then the one that rests longest. Who goes is asked only once all that came was read: a statement
 * may lie unread while this process has no CPU. Each place stands in one of four lists, so that
 * every call takes the same time however many there are.
 */
public final class ConnectionAdmission {
  /**
   * What a connection is doing, in the order in which it may have to go: the silent first, the busy
   * never.
   */
  public enum ConnectionState {
    NEW,
    IDLE,
    AWAITING_RETRY,
    BUSY
  }

  /** A connection's place in the house. */
  public static final class AdmittedConnection {
    private ConnectionState state;
    private long since;
    private AdmittedConnection previous;
    private AdmittedConnection next;
    private final Object owner;

    private AdmittedConnection(Object owner) {
      this.owner = owner;
    }

    /** Whatever the caller keeps there. */
    public Object owner() {
      return owner;
    }

    public ConnectionState state() {
      return state;
    }
  }

  /** A list of places, the one that came first at its head; the anchor stands for both ends. */
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

  // Between two accesses: longer let clients that ask once and stay shut others out, as three
  // hundred a second did;
  // harm: a client that comes back a moment later has to open another. Who comes is never left to
  // wait for it
  // unaccepted: that line is not seen, and was two seconds long when tried.
  private static final long IDLE_MIN_NANOS = 100 * NANOS_PER_MILLI;
  // Without its first statement, which in 1,700 of 1,770 connections came in the turn of the accept
  // and in all others
  // within 64 ms: after that it is a silent one. Harm: to clients on a slow way, while the house is
  // full.
  private static final long FIRST_REQUEST_TIMEOUT_NANOS = 150 * NANOS_PER_MILLI;
  // Where fewer accesses than this share come on a connection that had one before, clients ask once
  // and stay, and a
  // front that lets a router have so many connections has none left: 124 rested there while 77% of
  // the tries found no
  // connection and half of our places were free. Then those that rest longer go unasked. Harm: none
  // that was seen; a
  // client that would have come back opens another.
  private static final double MIN_REUSE_SHARE = 0.5;
  private static final double REUSE_SMOOTHING_WEIGHT =
      0.02; // weight of one access in that share: fifty back
  private static final int IDLE_ALLOWANCE_DIVISOR =
      8; // an eighth of the house may rest all the same: those are no crowd
  private static final long RETURN_TOLERANCE_NANOS =
      250 * NANOS_PER_MILLI; // a client that was told when to return may be this late: a guess

  private final ConnectionList[] connectionsByState =
      new ConnectionList[ConnectionState.values().length];
  private final long maxRetryAfterNanos;
  private int most;
  private int openConnections;
  private double reuseShare = 1;
  private boolean closing;

  /** With the most connections, and the longest wait that a client can be told. */
  public ConnectionAdmission(int maxConnections, long maxRetryAfterNanos) {
    this.most = maxConnections;
    this.maxRetryAfterNanos = maxRetryAfterNanos;
    for (int i = 0; i < connectionsByState.length; i++) {
      connectionsByState[i] = new ConnectionList();
    }
  }

  public int openConnections() {
    return openConnections;
  }

  public int maxConnections() {
    return most;
  }

  /** The house may grow or shrink while it is open. */
  public void setMaxConnections(int maxConnections) {
    most = Math.max(1, maxConnections);
  }

  public int openConnections(ConnectionState state) {
    return connectionsByState[state.ordinal()].length;
  }

  /** One that comes: it has a place until it leaves, or {@link #next} says that it goes. */
  public AdmittedConnection admit(Object owner, long now) {
    AdmittedConnection connection = new AdmittedConnection(owner);
    connection.state = ConnectionState.NEW;
    connection.since = now;
    connectionsByState[ConnectionState.NEW.ordinal()].add(connection);
    openConnections++;
    return connection;
  }

  /**
   * What it does from now on; the last in the order of those that do the same, if it began that
   * just now.
   */
  public void setState(AdmittedConnection connection, ConnectionState state, long now) {
    if (connection.state == null) {
      return; // it has left
    }
    boolean isUnchanged = state == ConnectionState.NEW && connection.state == state;
    if (!isUnchanged) {
      connectionsByState[connection.state.ordinal()].remove(connection);
      connection.state = state;
      connection.since = now;
      connectionsByState[state.ordinal()].add(connection);
    }
  }

  /** An access came on a connection, its first or a further one. */
  public void recordRequest(boolean onUsedConnection) {
    reuseShare += ((onUsedConnection ? 1 : 0) - reuseShare) * REUSE_SMOOTHING_WEIGHT;
  }

  /** Whoever leaves now cannot come back: only the silent go for those that still come. */
  public void startShutdown() {
    closing = true;
  }

  /** One that rests in vain and goes although there is room, or null. */
  public AdmittedConnection idleToClose(long now) {
    boolean manyIdle =
        openConnections(ConnectionState.IDLE) > most / IDLE_ALLOWANCE_DIVISOR
            && reuseShare < MIN_REUSE_SHARE
            && !closing;
    AdmittedConnection longestIdle = connectionsByState[ConnectionState.IDLE.ordinal()].oldest();
    return manyIdle && longestIdle.since <= now - IDLE_MIN_NANOS ? longestIdle : null;
  }

  public void remove(AdmittedConnection connection) {
    if (connection.state != null) {
      connectionsByState[connection.state.ordinal()].remove(connection);
      connection.state = null;
      openConnections--;
    }
  }

  public boolean isOverLimit() {
    return openConnections > most;
  }

  /**
   * Who goes now that the house is overfull, or null if there is none that may: then the newest is
   * to be refused. Ask only once all that had come was read, so that a statement on its way counts
   * as heard.
   */
  public AdmittedConnection connectionToClose(long now) {
    ConnectionList awaitingRetry = connectionsByState[ConnectionState.AWAITING_RETRY.ordinal()];
    for (AdmittedConnection overdue = awaitingRetry.oldest();
        overdue != null && overdue.since <= now - maxRetryAfterNanos - RETURN_TOLERANCE_NANOS;
        overdue = awaitingRetry.oldest()) {
      setState(
          overdue,
          ConnectionState.IDLE,
          overdue.since + maxRetryAfterNanos); // its time has passed; it rests since then
    }
    AdmittedConnection oldestNew = connectionsByState[ConnectionState.NEW.ordinal()].oldest();
    if (oldestNew != null && oldestNew.since <= now - FIRST_REQUEST_TIMEOUT_NANOS) {
      return oldestNew;
    }
    AdmittedConnection longestIdle = connectionsByState[ConnectionState.IDLE.ordinal()].oldest();
    return longestIdle != null && !closing && longestIdle.since <= now - IDLE_MIN_NANOS
        ? longestIdle
        : null;
  }

  /** The last to come of those that have said nothing yet, or null: there is no room for it. */
  public AdmittedConnection newestWithoutRequest() {
    return connectionsByState[ConnectionState.NEW.ordinal()].newest();
  }
}
