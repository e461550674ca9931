package rushwood.net;

import org.jspecify.annotations.Nullable;
import rushwood.protocol.ClientErrors;
import rushwood.protocol.ErrorResponse;
import rushwood.protocol.FrontendProtocol;

/**
 * Limits the unread input of one client to {@link #MAX_PIPELINED_BYTES} while the client has to
 * wait: its request is pending, it is slowed down, or it has to read its answers first.
 *
 * <p>Input is read from the socket even while it cannot be processed, because a disconnect is only
 * noticed once all input before it has been read. Input that exceeds the limit and all input after
 * it is dropped, and the connection is closed with an error once the pending request is answered.
 */
final class InputLimit {
  // Eight statements of the maximum length.
  private static final int MAX_PIPELINED_BYTES = 1 << 20;

  private boolean exceeded;

  /**
   * Checks the limit for input that has just arrived.
   *
   * @param unreadBytes all unread input of the client, including the new input
   * @param mustWait whether the input cannot be processed now
   */
  void inputReceived(long unreadBytes, boolean mustWait) {
    exceeded |= mustWait && unreadBytes > MAX_PIPELINED_BYTES;
  }

  /** Returns whether the client has ever exceeded the limit; its input has to be dropped then. */
  boolean isExceeded() {
    return exceeded;
  }

  /** Returns the error with which the connection has to be closed now, or null. */
  @Nullable ErrorResponse violation(FrontendProtocol protocol) {
    return exceeded && !protocol.hasPendingRequest() ? ClientErrors.TOO_MUCH_PIPELINED : null;
  }
}
