package rushwood.state;

import io.netty.buffer.ByteBuf;
import rushwood.api.Request;

/** An access as a client wrote it. */
public interface Statement {
  /**
   * What the module hears now of a statement that came then: its due time counts from there, {@code
   * last} at most.
   */
  Request access(long now, long cameAt, long last);

  /** The statement for a shot that is waited for that many milliseconds; the caller releases it. */
  ByteBuf message(long millis);

  /** No shot will need it any more. */
  void release();
}
