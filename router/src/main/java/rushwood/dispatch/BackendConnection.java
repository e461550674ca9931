package rushwood.dispatch;

import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;

/** A connection to a host, which carries one exchange at a time. */
public interface BackendConnection {
  /**
   * Writes a statement and takes ownership of its buffer. The connection must be open and must not
   * carry another exchange.
   *
   * @param isHealthCheck whether the row of the response is a load report
   */
  void send(ByteBuf statement, boolean isHealthCheck);

  /** Returns whether the most recent statement was written to the socket completely. */
  boolean isStatementWritten();

  /**
   * Reads what the socket holds, and returns whether the connection can carry another exchange: it
   * is established, and nothing has arrived that belongs to no exchange. Such input ends the
   * connection; the listener is then notified from within this call. Must not be called while the
   * connection notifies its listener.
   */
  boolean isReusable();

  /** Closes the connection. The listener is not called any more. */
  void close();

  /** Opens connections to hosts. */
  interface Connector {
    /** Starts to connect and returns at once; the listener is notified of the result. */
    BackendConnection connect(InetSocketAddress address, Listener listener);

    /**
     * Returns a new health check message, which a host answers with a load report. The caller takes
     * ownership of it.
     */
    ByteBuf healthCheckStatement();
  }

  /**
   * Receives the events of a connection, on the event loop's thread and never from within a call to
   * the connection other than {@link #isReusable}.
   */
  interface Listener {
    /** Called when the connection is established and can carry an exchange. */
    void connected();

    /**
     * Called when the response to the last statement was read or is malformed, or when the host
     * refused the connection with an error message.
     *
     * @param reusable whether the connection can carry another exchange; if not, it has to be
     *     closed
     */
    void responseReceived(BackendResponse response, boolean reusable);

    /**
     * Called when the connection ended or the host violated the protocol, unless {@link
     * #responseReceived} reports it.
     *
     * @param accepted whether the host had accepted the connection
     */
    void connectionLost(boolean accepted);
  }
}
