package rushwood.dispatch;

import io.netty.buffer.ByteBuf;
import rushwood.api.Request;

/** An access as a client wrote it. */
public interface Statement {
  /**
   * What the module hears now of a statement that came then: its due time counts from there, {@code
   * last} at most.
   */
  Request toRequest(long now, long earliestArrival, long latestDeadline);

  /** The statement for a shot that is waited for that many milliseconds; the caller releases it. */
  ByteBuf toMessage(long timeoutMillis);

  /** No shot will need it any more. */
  void release();
}
