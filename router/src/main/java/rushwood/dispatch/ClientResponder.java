package rushwood.dispatch;

import io.netty.buffer.ByteBuf;

/** Where the one final answer of an access goes. */
public interface ClientResponder {
  /** The messages of the row as the host gave them; the client releases them. */
  void sendResult(ByteBuf row);

  /** Trying again is harmless, after {@code advice} nanoseconds if positive. */
  void sendRejection(long retryAfterNanos);

  void sendFailure();
}
