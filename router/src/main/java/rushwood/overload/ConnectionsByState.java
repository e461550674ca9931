package rushwood.overload;

import org.jspecify.annotations.Nullable;

/**
 * The admitted connections, each in the list of its state, in the order in which they entered it.
 */
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

  /** Adds a new connection, in the state in which it was created. */
  void add(AdmittedConnection connection) {
    list(connection.state()).add(connection);
    count++;
  }

  /** Moves a connection to the end of the list of a state, also if it is in that state already. */
  void move(AdmittedConnection connection, ConnectionState state, long since) {
    list(connection.state()).remove(connection);
    connection.enterState(state, since);
    list(state).add(connection);
  }

  void remove(AdmittedConnection connection) {
    list(connection.state()).remove(connection);
    connection.markRemoved();
    count--;
  }

  /** The connection that entered the state first. */
  @Nullable AdmittedConnection oldest(ConnectionState state) {
    return list(state).oldest();
  }

  /** The connection that entered the state last. */
  @Nullable AdmittedConnection newest(ConnectionState state) {
    return list(state).newest();
  }

  private ConnectionList list(ConnectionState state) {
    return lists[state.ordinal()];
  }
}
