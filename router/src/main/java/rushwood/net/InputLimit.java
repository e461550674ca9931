package rushwood.net;

import org.jspecify.annotations.Nullable;
import rushwood.protocol.ClientErrors;
import rushwood.protocol.ErrorResponse;
import rushwood.protocol.FrontendProtocol;

/**
 * Limits the unread input of one client, and counts what is held for it in the {@link
 * StatementMemory}.
 *
 * <p>Input is read even while nothing of it can be processed, since the end of the connection comes
 * behind it and has to be noticed. The limits in bytes:
 *
 * <ul>
 *   <li>{@link #MAX_PIPELINED_BYTES} while the client has to wait: its request is pending, it is
 *       slowed down, or it has to read its answers first;
 *   <li>{@link #MAX_PIPELINED_BYTES_LOW_MEMORY} while memory is low and the client has to wait, and
 *       for all clients while it is exhausted.
 * </ul>
 *
 * <p>The excess and all input behind it is dropped, and the connection ends with an error behind
 * the answer that is due. A pending request is never refused for want of memory; an incomplete
 * message above the second limit is, once memory is exhausted.
 */
final class InputLimit {
  // Eight statements of the maximum length.
  private static final int MAX_PIPELINED_BYTES = 1 << 20;
  private static final int MAX_PIPELINED_BYTES_LOW_MEMORY = 64 << 10;

  private final StatementMemory statementMemory;
  private int countedBytes; // what this client has added to the statement memory
  private boolean exceeded;

  InputLimit(StatementMemory statementMemory) {
    this.statementMemory = statementMemory;
  }

  /** Input is about to be kept; {@code mustWait} if it cannot be processed now. */
  void inputReceived(int unreadBytes, boolean mustWait) {
    exceeded |= exceedsLimit(unreadBytes, mustWait);
  }

  private boolean exceedsLimit(int unreadBytes, boolean mustWait) {
    if (mustWait && unreadBytes > MAX_PIPELINED_BYTES) {
      return true;
    }
    boolean isMemoryShort = mustWait ? statementMemory.isLow() : statementMemory.isExhausted();
    return isMemoryShort && unreadBytes > MAX_PIPELINED_BYTES_LOW_MEMORY;
  }

  /** Whether input is dropped: the client has exceeded the limit, now or before. */
  boolean isExceeded() {
    return exceeded;
  }

  /** The error with which the connection has to end now, if it has to. */
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

  /** Counts what is held for this client now: unread input and the pending request. */
  void setHeldBytes(int heldBytes) {
    statementMemory.adjust(heldBytes - countedBytes);
    countedBytes = heldBytes;
  }
}
