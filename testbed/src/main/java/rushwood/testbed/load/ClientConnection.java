package rushwood.testbed.load;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import rushwood.testbed.standin.Loopback;
import rushwood.testbed.standin.MessageEncoder;
import rushwood.testbed.standin.ProtocolMessage;

/** A client's connection to the router. Used on the event loop only. */
final class ClientConnection {
  private static final int QUERY_BUFFER_BYTES = 256;

  /** Receives the events of a connection, on the event loop. */
  interface Listener {
    /** Called when the connection is open; nothing has been sent on it yet. */
    void connectionOpened(ClientConnection connection);

    /** Called when the connection could not be opened. */
    void connectionFailed();

    /** Called for each data row and error response. */
    void answerReceived(ClientConnection connection, ProtocolMessage answer);

    /**
     * Called when an open connection has been closed by either side.
     *
     * @param wasUsable what {@link ClientConnection#isUsable} returned just before; false if the
     *     client closed the connection
     */
    void connectionClosed(ClientConnection connection, boolean wasUsable);
  }

  private final Listener listener;
  private final Channel channel;
  private boolean usable;
  private boolean querySent;

  /** Starts connecting. */
  ClientConnection(EventLoop loop, InetSocketAddress routerAddress, Listener listener) {
    this.listener = listener;
    channel =
        Loopback.connect(loop, routerAddress, new MessageHandler())
            .addListener(
                future -> {
                  if (!future.isSuccess()) {
                    listener.connectionFailed();
                  }
                })
            .channel();
  }

  /**
   * Returns whether a query has been sent and another one can be: neither side has closed the
   * connection, and the router has not announced that it will.
   */
  boolean isUsable() {
    return usable;
  }

  /** Returns whether a query has been sent, which the router may have received. */
  boolean hasSentQuery() {
    return querySent;
  }

  /** Sends a statement; the startup message precedes the first one. */
  void send(String statement) {
    ByteBuf out = channel.alloc().buffer(QUERY_BUFFER_BYTES);
    if (!usable) {
      MessageEncoder.writeStartup(out);
      usable = true;
    }
    querySent = true;
    MessageEncoder.writeQuery(out, statement);
    channel.writeAndFlush(out);
  }

  /** Records that the router is about to close the connection; nothing more may be sent. */
  void markUnusable() {
    usable = false;
  }

  void close() {
    usable = false;
    channel.close();
  }

  private final class MessageHandler extends SimpleChannelInboundHandler<ProtocolMessage> {
    @Override
    public void channelActive(ChannelHandlerContext context) {
      listener.connectionOpened(ClientConnection.this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ProtocolMessage message) {
      if (message.type() == ProtocolMessage.DATA_ROW
          || message.type() == ProtocolMessage.ERROR_RESPONSE) {
        listener.answerReceived(ClientConnection.this, message);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      boolean wasUsable = usable;
      usable = false;
      listener.connectionClosed(ClientConnection.this, wasUsable);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
