package rushwood.overload;

import org.jspecify.annotations.Nullable;

/** The client connection that {@link EvictionPolicy} has chosen to close or refuse, if any. */
public final class EvictionDecision {
  /** What the caller has to do with the connection. */
  public enum Action {
    /** Close the connection: its first request has not arrived in time. */
    CLOSE_UNUSED,
    /** Close the connection: it has been idle for longest. */
    CLOSE_IDLE,
    /** Send an error and close the connection: it is the newest that has not sent a request. */
    REFUSE_NEWEST,
    /** Do nothing: no connection may be closed or refused now. */
    NONE;

    /**
     * Returns whether the action is {@link #CLOSE_UNUSED} or {@link #CLOSE_IDLE}: the connection
     * was served, or its time to send a first request is over.
     */
    public boolean isClose() {
      return this == CLOSE_UNUSED || this == CLOSE_IDLE;
    }
  }

  static final EvictionDecision NONE = new EvictionDecision(Action.NONE, null);

  private final Action action;
  private final @Nullable AdmittedConnection connection;

  private EvictionDecision(Action action, @Nullable AdmittedConnection connection) {
    this.action = action;
    this.connection = connection;
  }

  static EvictionDecision of(Action action, AdmittedConnection connection) {
    return new EvictionDecision(action, connection);
  }

  /** Returns what the caller has to do. */
  public Action action() {
    return action;
  }

  /**
   * Returns the connection to close or refuse.
   *
   * @throws IllegalStateException if the action is {@link Action#NONE}
   */
  public AdmittedConnection connection() {
    if (connection == null) {
      throw new IllegalStateException("no connection to close or refuse: the action is NONE");
    }
    return connection;
  }
}
