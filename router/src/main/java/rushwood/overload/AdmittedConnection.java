package rushwood.overload;

/**
 * A connection that {@link ConnectionAdmission} has admitted: its owner, its state, and its place
 * in the {@link ConnectionList} of that state. It is a node of the list itself, so that a change of
 * state allocates nothing.
 */
public final class AdmittedConnection {
  private final Object owner;
  private ConnectionState state = ConnectionState.NEW;
  private long stateSince;
  private boolean removed;
  // Outside of a list a node is linked to itself.
  private AdmittedConnection previous = this;
  private AdmittedConnection next = this;

  AdmittedConnection(Object owner, long admittedAt) {
    this.owner = owner;
    stateSince = admittedAt;
  }

  /** The object that was given to {@link ConnectionAdmission#admit}. */
  public Object owner() {
    return owner;
  }

  /** The state; once the connection was removed, its last one. */
  public ConnectionState state() {
    return state;
  }

  /** The clock time in nanoseconds since when it has been in its state. */
  long stateSince() {
    return stateSince;
  }

  /** Whether it has been in its state for that long. */
  boolean hasBeenInStateFor(long nanos, long now) {
    return stateSince <= now - nanos;
  }

  boolean isRemoved() {
    return removed;
  }

  void enterState(ConnectionState entered, long since) {
    state = entered;
    stateSince = since;
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

  /** Links this node, which is in no list, between another one and its predecessor. */
  void linkBefore(AdmittedConnection successor) {
    next = successor;
    previous = successor.previous;
    previous.next = this;
    successor.previous = this;
  }

  /** Takes this node out of its list. */
  void unlink() {
    previous.next = next;
    next.previous = previous;
    previous = this;
    next = this;
  }
}
