package rushwood.overload;

import org.jspecify.annotations.Nullable;

/** The admitted connections, in one list for each state, ordered by when they entered the state. */
final class ConnectionsByState {
  private final ConnectionList[] lists = new ConnectionList[ConnectionState.values().length];
  private int count;

  ConnectionsByState() {
    for (int i = 0; i < lists.length; i++) {
      lists[i] = new ConnectionList();
    }
  }

  int count() {
    return count;
  }

  int count(ConnectionState state) {
    return list(state).length();
  }

  /** Adds a connection to the list of its current state. */
  void add(AdmittedConnection connection) {
    list(connection.state()).add(connection);
    count++;
  }

  /**
   * Moves a connection to the end of the list of a state, even if it is in that state already.
   *
   * @param enteredAt the clock time in nanoseconds at which the connection entered the state
   */
  void move(AdmittedConnection connection, ConnectionState state, long enteredAt) {
    list(connection.state()).remove(connection);
    connection.enterState(state, enteredAt);
    list(state).add(connection);
  }

  void remove(AdmittedConnection connection) {
    list(connection.state()).remove(connection);
    connection.markRemoved();
    count--;
  }

  /** Returns the connection that has been in the state for longest, null if there is none. */
  @Nullable AdmittedConnection oldest(ConnectionState state) {
    return list(state).oldest();
  }

  /** Returns the connection that entered the state last, null if there is none. */
  @Nullable AdmittedConnection newest(ConnectionState state) {
    return list(state).newest();
  }

  private ConnectionList list(ConnectionState state) {
    return lists[state.ordinal()];
  }
}
