package rushwood.net;

/**
 * Counts the bytes of statements held for all clients: unread input and pending requests. {@link
 * InputLimit} and {@link RequestSubmitter} use it to limit the memory for statements.
 */
final class StatementMemory {
  private static final long MAX_BYTES = 16 << 20; // less than half of the memory for buffers
  private static final long LOW_MEMORY_BYTES = MAX_BYTES / 2;

  private long usedBytes;

  /** Adds to the number of bytes in use; a negative value subtracts. */
  void adjust(int bytes) {
    usedBytes += bytes;
  }

  /** Returns whether clients that have to wait may pipeline less input; see {@link InputLimit}. */
  boolean isLow() {
    return usedBytes > LOW_MEMORY_BYTES;
  }

  /** Returns whether more than the maximum is in use. */
  boolean isExhausted() {
    return usedBytes > MAX_BYTES;
  }

  /** Returns whether a request of the given size may become pending. */
  boolean hasRoomFor(int bytes) {
    return usedBytes + bytes <= MAX_BYTES;
  }
}
