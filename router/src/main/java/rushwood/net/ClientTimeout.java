package rushwood.net;

/**
 * Limits how long one client may take, in both cases to {@link #TIMEOUT_NANOS}: to read its answers
 * while output is pending, and to complete a message that it has begun, the startup message
 * included. Times are clock times in nanoseconds.
 */
final class ClientTimeout {
  /** What the client takes too long over. */
  enum Expiry {
    NONE,
    UNREAD_ANSWER,
    INCOMPLETE_MESSAGE
  }

  // The platform expects the end of such a connection within 3 s.
  private static final long TIMEOUT_NANOS = 2_400_000_000L;

  private long lastActivity;
  private long incompleteSince; // when the bytes began that make no whole message yet

  ClientTimeout(long acceptedAt) {
    lastActivity = acceptedAt;
    incompleteSince = acceptedAt;
  }

  /** Bytes came; {@code isContinuation} if a part of a message was there before. */
  void bytesRead(long now, boolean isContinuation) {
    lastActivity = now;
    if (!isContinuation) {
      incompleteSince = now;
    }
  }

  /** Bytes were written; {@code isStartingUp} if the startup message is still due. */
  void bytesWritten(long now, boolean isStartingUp) {
    lastActivity = now;
    if (!isStartingUp) {
      incompleteSince = now;
    }
  }

  /** What has taken too long, as the channel is writable and a message incomplete or not. */
  Expiry check(long now, boolean isWritable, boolean hasIncompleteMessage) {
    long oldest = now - TIMEOUT_NANOS;
    if (!isWritable && lastActivity <= oldest) {
      return Expiry.UNREAD_ANSWER;
    }
    return hasIncompleteMessage && incompleteSince <= oldest
        ? Expiry.INCOMPLETE_MESSAGE
        : Expiry.NONE;
  }
}
