package rushwood.dispatch;

import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;

/** A connection to a host, which carries one exchange at a time. */
public interface BackendConnection {
  /**
   * Writes a statement and takes its buffer over. Only for a connection that is open and carries no
   * exchange.
   *
   * @param isHealthCheck whether the row of the response is a load report
   */
  void send(ByteBuf statement, boolean isHealthCheck);

  /** Whether the last byte of the last statement was written to the socket. */
  boolean isStatementWritten();

  /** Whether the connection is up and can carry the next exchange. */
  boolean isOpen();

  /** Closes the connection; the listener is told nothing more. */
  void close();

  /** Opens connections to hosts. */
  interface Connector {
    /** Begins to connect; the listener is told how it goes on. */
    BackendConnection connect(InetSocketAddress address, Listener listener);

    /** The statement of a health check, which a host answers with a load report. */
    ByteBuf healthCheckStatement();
  }

  /** What a connection reports, never from within a call to it. */
  interface Listener {
    /** The connection is up and can carry an exchange. */
    void connected();

    /**
     * The response to the last statement has been read, or the host refused the connection.
     *
     * @param reusable whether the connection can carry another exchange; if not, it is of no use
     */
    void responseReceived(BackendResponse response, boolean reusable);

    /**
     * The connection ended, or violated the protocol, without a response.
     *
     * @param accepted whether the host had accepted the connection
     */
    void connectionLost(boolean accepted);
  }
}
