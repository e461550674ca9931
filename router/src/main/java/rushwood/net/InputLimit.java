package rushwood.net;

import org.jspecify.annotations.Nullable;
import rushwood.protocol.ClientErrors;
import rushwood.protocol.ErrorResponse;
import rushwood.protocol.FrontendProtocol;

/**
 * Limits the unread input of one client, and counts the bytes held for that client in the shared
 * {@link StatementMemory}.
 *
 * <p>Input is read from the socket even while it cannot be processed, because a disconnect is only
 * noticed once all input before it has been read. The limits on unread input are:
 *
 * <ul>
 *   <li>{@link #MAX_PIPELINED_BYTES} while the client has to wait: its request is pending, it is
 *       slowed down, or it has to read its answers first;
 *   <li>{@link #MAX_PIPELINED_BYTES_LOW_MEMORY} while the client has to wait and statement memory
 *       is low, and for all clients while statement memory is exhausted.
 * </ul>
 *
 * <p>Input that exceeds the limit and all input after it is dropped, and the connection is closed
 * with an error once the pending request is answered. A pending request is never refused for lack
 * of memory, but an incomplete message above {@link #MAX_PIPELINED_BYTES_LOW_MEMORY} is refused
 * while memory is exhausted.
 */
final class InputLimit {
  // Eight statements of the maximum length.
  private static final int MAX_PIPELINED_BYTES = 1 << 20;
  private static final int MAX_PIPELINED_BYTES_LOW_MEMORY = 64 << 10;

  private final StatementMemory statementMemory;
  private int countedBytes; // this client's share of the statement memory
  private boolean exceeded;

  InputLimit(StatementMemory statementMemory) {
    this.statementMemory = statementMemory;
  }

  /**
   * Checks the limits for input that has just arrived.
   *
   * @param unreadBytes all unread input of the client, including the new input
   * @param mustWait whether the input cannot be processed now
   */
  void inputReceived(int unreadBytes, boolean mustWait) {
    exceeded |= exceedsLimit(unreadBytes, mustWait);
  }

  private boolean exceedsLimit(int unreadBytes, boolean mustWait) {
    if (mustWait && unreadBytes > MAX_PIPELINED_BYTES) {
      return true;
    }
    boolean isLowMemoryLimitActive =
        mustWait ? statementMemory.isLow() : statementMemory.isExhausted();
    return isLowMemoryLimitActive && unreadBytes > MAX_PIPELINED_BYTES_LOW_MEMORY;
  }

  /** Returns whether the client has ever exceeded a limit; its input has to be dropped then. */
  boolean isExceeded() {
    return exceeded;
  }

  /** Returns the error with which the connection has to be closed now, or null. */
  @Nullable ErrorResponse violation(FrontendProtocol protocol) {
    if (exceeded && !protocol.hasPendingRequest()) {
      return ClientErrors.TOO_MUCH_PIPELINED;
    }
    boolean holdsTooMuch =
        statementMemory.isExhausted()
            && protocol.unreadBytes() > MAX_PIPELINED_BYTES_LOW_MEMORY
            && protocol.hasIncompleteMessage();
    return holdsTooMuch ? ClientErrors.OUT_OF_MEMORY : null;
  }

  /** Sets the number of bytes held for this client: its unread input and pending request. */
  void setHeldBytes(int heldBytes) {
    statementMemory.adjust(heldBytes - countedBytes);
    countedBytes = heldBytes;
  }
}
