package rushwood.overload;

/** The state of a client connection, as far as it decides whether it may be closed. */
public enum ConnectionState {
  /** The connection has not sent a request since it was accepted. */
  NEW,
  /** The last request was answered. */
  IDLE,
  /** The last request was rejected with a Retry-After time. */
  AWAITING_RETRY,
  /**
   * A request is pending or part of a message has arrived. Such a connection is never closed to
   * make room for others.
   */
  BUSY
}
