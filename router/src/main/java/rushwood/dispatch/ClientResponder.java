package rushwood.dispatch;

import io.netty.buffer.ByteBuf;

/**
 * Sends the final response of one request to its client. Exactly one of the methods is called, on
 * the event loop's thread, unless the client disconnects first.
 */
public interface ClientResponder {
  /** Sends the messages of a row as the host wrote them, and takes ownership of their buffer. */
  void sendResult(ByteBuf row);

  /**
   * Sends a rejection: the request has not run or is idempotent, so trying it again is harmless.
   *
   * @param retryAfterNanos how long the client should wait before it tries again; 0 for no hint
   */
  void sendRejection(long retryAfterNanos);

  /** Sends a failure: the request may or may not have run. */
  void sendFailure();
}
