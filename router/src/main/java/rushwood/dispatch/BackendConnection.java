package rushwood.dispatch;

import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;

/** A connection to a host. */
public interface BackendConnection {
  /**
   * Writes a statement; only on a link that is open and not in use. The row of a probe is a load
   * report.
   */
  void send(ByteBuf statement, boolean isProbe);

  /** Whether the last byte of the last statement was written. */
  boolean isStatementWritten();

  boolean isOpen();

  /** Closes it; no event follows. */
  void close();

  /** What opens links. */
  interface Connector {
    BackendConnection connect(InetSocketAddress address, Listener listener);
  }

  /** What a link tells, never from within a call to it. */
  interface Listener {
    void connected();

    /**
     * The end of what was asked, or a refusal while opening; whether the link can be used again.
     */
    void responseReceived(BackendResponse response, boolean reusable);

    /** It is over; {@code accepted} unless the host refused it or it never came up. */
    void connectionLost(boolean accepted);
  }
}
