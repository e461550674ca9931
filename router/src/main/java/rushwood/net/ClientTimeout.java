package rushwood.net;

/**
 * Limits the time that a client may take to read pending output and to complete a message, the
 * startup message included, to {@link #TIMEOUT_NANOS} each. Times are clock times in nanoseconds.
 */
final class ClientTimeout {
  /** Which timeout has expired. */
  enum Expiry {
    NONE,
    /** The client does not read its answers. */
    UNREAD_ANSWER,
    /** The client does not complete a message, or has not sent its startup message. */
    INCOMPLETE_MESSAGE
  }

  // The platform expects such a connection to be closed within 3 s.
  private static final long TIMEOUT_NANOS = 2_400_000_000L;

  /** Many round trips: a client that reads its answers has made room by then. */
  private static final long READING_STALL_NANOS = 200_000_000L;

  private long lastActivity;
  private long incompleteSince; // start of the current incomplete message

  ClientTimeout(long acceptedAt) {
    lastActivity = acceptedAt;
    incompleteSince = acceptedAt;
  }

  /**
   * Records that bytes were read from the client.
   *
   * @param isContinuation whether the router was already waiting for the startup message or for the
   *     rest of a message
   */
  void bytesRead(long now, boolean isContinuation) {
    lastActivity = now;
    if (!isContinuation) {
      incompleteSince = now;
    }
  }

  /**
   * Records that bytes were written to the client. Unless the client is starting up, this restarts
   * the time that it has to complete a message.
   *
   * @param isStartingUp whether the startup message has not been answered yet
   */
  void bytesWritten(long now, boolean isStartingUp) {
    lastActivity = now;
    if (!isStartingUp) {
      incompleteSince = now;
    }
  }

  /**
   * Returns the timeout that has expired, or {@link Expiry#NONE}.
   *
   * @param isWritable whether the channel is writable; if not, the client has answers to read
   * @param hasIncompleteMessage whether the startup message or the rest of a message has not
   *     arrived
   */
  Expiry check(long now, boolean isWritable, boolean hasIncompleteMessage) {
    long latestExpired = now - TIMEOUT_NANOS;
    if (!isWritable && lastActivity <= latestExpired) {
      return Expiry.UNREAD_ANSWER;
    }
    return hasIncompleteMessage && incompleteSince <= latestExpired
        ? Expiry.INCOMPLETE_MESSAGE
        : Expiry.NONE;
  }

  /**
   * Returns whether the client has answers to read and did nothing for {@link
   * #READING_STALL_NANOS}.
   *
   * @param isWritable as for {@link #check}
   */
  boolean hasReadingStalled(long now, boolean isWritable) {
    return !isWritable && lastActivity <= now - READING_STALL_NANOS;
  }
}
