package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import rushwood.dispatch.ClientResponder;

/**
 * What {@link FrontendProtocol} needs of its connection and of the router. Called on the event loop
 * of the connection, from within calls to the protocol.
 */
public interface FrontendCallbacks {
  /** Whether requests can be served, as an empty query asks. */
  boolean isReady();

  /**
   * Starts a request; its answer comes through the methods of {@link ClientResponder}.
   *
   * @param text the statement; valid during the call unless retained
   */
  void submit(ByteBuf text) throws ProtocolException;

  /** Writes each counter as a DataRow; returns the number of rows. */
  int writeCounters(ByteBuf out);

  /** The client sent something that is not accepted; called before it is told so. */
  void statementRejected(ProtocolException cause);

  /** Sends to the client; takes the buffer over. */
  void write(ByteBuf out);

  /** The answer that is written next tells the client when to try again. */
  void retryAfterAnnounced();

  /** The key by which a request on another connection can cancel the request of this one. */
  long cancelKey();

  /** The client asks to cancel the request of the connection that has this key, if there is one. */
  void cancelRequest(long key);

  /** The client ended the session while its request was pending. */
  void clientTerminated();

  /** Closes the connection once everything is written. */
  void close();

  /** Calls {@link FrontendProtocol#resume} in a later turn of the event loop. */
  void resumeLater();
}
