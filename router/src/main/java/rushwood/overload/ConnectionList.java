package rushwood.overload;

import org.jspecify.annotations.Nullable;
import rushwood.api.Times;

/**
 * A list of connections in the order in which they were added: a circular doubly linked list with a
 * sentinel, whose nodes are the connections themselves. Every call takes constant time and
 * allocates nothing.
 */
final class ConnectionList {
  private final AdmittedConnection sentinel = new AdmittedConnection(this, Times.LONG_AGO);
  private int length;

  /** Appends a connection that is in no list. */
  void add(AdmittedConnection connection) {
    connection.linkBefore(sentinel);
    length++;
  }

  /** Removes a connection that is in this list. */
  void remove(AdmittedConnection connection) {
    connection.unlink();
    length--;
  }

  @Nullable AdmittedConnection oldest() {
    return length == 0 ? null : sentinel.next();
  }

  @Nullable AdmittedConnection newest() {
    return length == 0 ? null : sentinel.previous();
  }

  int length() {
    return length;
  }
}
