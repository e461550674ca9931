package rushwood.dispatch;

import io.netty.buffer.ByteBuf;
import rushwood.api.Request;

/** A request as a client wrote it. */
public interface Statement {
  /**
   * The request that the routing policy is told of. Times are Unix times in nanoseconds.
   *
   * @param now the current time
   * @param earliestArrival when the statement may have arrived; its deadline counts from then
   * @param latestDeadline a bound on the deadline
   */
  Request toRequest(long now, long earliestArrival, long latestDeadline);

  /** A message to a host that is waited for that many milliseconds; the caller releases it. */
  ByteBuf toMessage(long timeoutMillis);

  /** Releases the statement: no further message is made of it. */
  void release();
}
