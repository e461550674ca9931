package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import rushwood.dispatch.ClientResponder;

/**
 * The operations that {@link FrontendProtocol} needs from its connection and from the router. All
 * methods are called on the event loop of the connection, from within calls to the protocol.
 */
public interface FrontendCallbacks {
  /** Returns whether the router can serve requests; clients check this with an empty query. */
  boolean isReady();

  /**
   * Submits a request. The response is sent through the methods of {@link ClientResponder},
   * possibly before this call returns.
   *
   * @param text the statement, which is valid during the call unless it is retained
   * @throws ProtocolException if the statement is rejected; nothing was submitted
   */
  void submit(ByteBuf text) throws ProtocolException;

  /** Writes each counter as a DataRow message and returns the number of rows. */
  int writeCounters(ByteBuf out);

  /** Called when input of the client is not accepted, before the error is written. */
  void statementRejected(ProtocolException cause);

  /** Called when a request is rejected that was not submitted, before the error is written. */
  void requestRejected();

  /** Sends the bytes to the client and takes ownership of the buffer. */
  void write(ByteBuf out);

  /** Called before a rejection that contains a Retry-After is written. */
  void retryAfterAnnounced();

  /** Returns the key with which a CancelRequest on another connection identifies this one. */
  long cancelKey();

  /** Cancels the pending request of the connection that has this key, if there is any. */
  void cancelRequest(long key);

  /** Called when the client ends the session while its request is pending. */
  void clientTerminated();

  /** Closes the connection after all output has been written. */
  void close();

  /**
   * Schedules a call of {@link FrontendProtocol#resume} as a separate task of the event loop. It
   * may run in the same turn, but never before this method has returned.
   */
  void resumeLater();
}
