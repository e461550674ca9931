package rushwood.overload;

import org.jspecify.annotations.Nullable;

/** Which connection of a client has to end for others, and how; made by {@link EvictionPolicy}. */
public final class EvictionDecision {
  /** What is to be done with the connection. */
  public enum Action {
    /** Close it: its first request is overdue. */
    CLOSE_UNUSED,
    /** Close it: it has been idle for longest. */
    CLOSE_IDLE,
    /** Answer it with an error and close it: it is the newest without a request. */
    REFUSE_NEWEST,
    /** Nothing: no connection may be closed or refused now. */
    NONE;

    /** Whether a connection is closed that was served, or had its time to send a request. */
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

  /** What is to be done. */
  public Action action() {
    return action;
  }

  /**
   * The connection that has to end.
   *
   * @throws IllegalStateException if the action is {@link Action#NONE}
   */
  public AdmittedConnection connection() {
    if (connection == null) {
      throw new IllegalStateException("no connection has to end");
    }
    return connection;
  }
}
