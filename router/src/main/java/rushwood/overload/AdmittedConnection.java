package rushwood.overload;

/**
 * A client connection that {@link ConnectionAdmission} has admitted: its owner, its state, and its
 * links in the {@link ConnectionList} of that state. The connection itself is the list node, so
 * that a state change allocates nothing.
 */
public final class AdmittedConnection {
  private final Object owner;
  private ConnectionState state = ConnectionState.NEW;
  private long stateSince;
  private boolean removed;
  // A node that is in no list is linked to itself.
  private AdmittedConnection previous = this;
  private AdmittedConnection next = this;

  AdmittedConnection(Object owner, long admittedAt) {
    this.owner = owner;
    stateSince = admittedAt;
  }

  /** Returns the object that was passed to {@link ConnectionAdmission#admit}. */
  public Object owner() {
    return owner;
  }

  /** Returns the current state, or the last one if the connection has been removed. */
  public ConnectionState state() {
    return state;
  }

  /** Returns the clock time in nanoseconds at which the connection entered its state. */
  long stateSince() {
    return stateSince;
  }

  /** Returns whether the connection has been in its state for at least {@code nanos}. */
  boolean hasBeenInStateFor(long nanos, long now) {
    return stateSince <= now - nanos;
  }

  boolean isRemoved() {
    return removed;
  }

  void enterState(ConnectionState newState, long enteredAt) {
    state = newState;
    stateSince = enteredAt;
  }

  void markRemoved() {
    removed = true;
  }

  AdmittedConnection previous() {
    return previous;
  }

  AdmittedConnection next() {
    return next;
  }

  /** Inserts this node, which must be in no list, in front of {@code successor}. */
  void linkBefore(AdmittedConnection successor) {
    next = successor;
    previous = successor.previous;
    previous.next = this;
    successor.previous = this;
  }

  /** Removes this node from its list. */
  void unlink() {
    previous.next = next;
    next.previous = previous;
    previous = this;
    next = this;
  }
}
