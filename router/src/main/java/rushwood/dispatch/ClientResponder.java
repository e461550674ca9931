package rushwood.dispatch;

import io.netty.buffer.ByteBuf;

/** Sends a request's one final response to its client. Called on the event loop, once a request. */
public interface ClientResponder {
  /** Sends the messages of a row as the host wrote them, and takes their buffer over. */
  void sendResult(ByteBuf row);

  /**
   * Sends that the request has not run and may be tried again.
   *
   * @param retryAfterNanos how long the client is to wait before, if positive
   */
  void sendRejection(long retryAfterNanos);

  /** Sends that the request failed; it may or may not have run. */
  void sendFailure();
}
