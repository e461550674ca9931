package rushwood.overload;

/** What the connection of a client does, as far as it matters for closing it. */
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
