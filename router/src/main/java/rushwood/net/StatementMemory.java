package rushwood.net;

/**
 * Counts the bytes of statements that are held for all clients: what they sent ahead of their
 * answers, and the requests that are pending. {@link InputLimit} and {@link RequestSubmitter} ask
 * it what they may still hold.
 */
final class StatementMemory {
  private static final long MAX_BYTES = 16 << 20; // a third of the memory for buffers
  private static final long LOW_MEMORY_BYTES = MAX_BYTES / 2;

  private long usedBytes;

  /** Adds to the bytes in use, or subtracts from them. */
  void adjust(int bytes) {
    usedBytes += bytes;
  }

  /** Whether clients have to hold back statements sent ahead of their answers. */
  boolean isLow() {
    return usedBytes > LOW_MEMORY_BYTES;
  }

  /** Whether more is in use than there should be. */
  boolean isExhausted() {
    return usedBytes > MAX_BYTES;
  }

  /** Whether a request of that size may become pending. */
  boolean hasRoomFor(int bytes) {
    return usedBytes + bytes <= MAX_BYTES;
  }
}
