package rushwood.dispatch;

import io.netty.buffer.ByteBuf;
import rushwood.api.Request;

/** The statement of a request, as received from a client. */
public interface Statement {
  /**
   * Returns the request that is passed to the routing policy. Times are Unix times in nanoseconds.
   *
   * @param now the current time
   * @param earliestArrival the earliest time at which the statement may have arrived, from which
   *     its timeout counts
   * @param latestDeadline the upper bound of the deadline
   */
  Request toRequest(long now, long earliestArrival, long latestDeadline);

  /**
   * Returns a new message to a host, which the caller takes ownership of.
   *
   * @param timeoutMillis how long the router waits for the response, which the message tells the
   *     host
   */
  ByteBuf toMessage(long timeoutMillis);

  /** Releases the statement. It must not be used afterwards. */
  void release();
}
