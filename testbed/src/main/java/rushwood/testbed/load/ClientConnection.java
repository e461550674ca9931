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

/** One connection of a client to the router. Used on the event loop only. */
final class ClientConnection {
  private static final int QUERY_BUFFER_BYTES = 256;

  /** Is told what becomes of a connection. */
  interface Listener {
    /** It is open, and nothing has been sent yet. */
    void connectionOpened(ClientConnection connection);

    /** It could not be opened. */
    void connectionFailed();

    /** A row or an error has come. */
    void answerReceived(ClientConnection connection, ProtocolMessage answer);

    /** It is closed; {@code wasUsable} is the value of {@link #isUsable} until then. */
    void connectionClosed(ClientConnection connection, boolean wasUsable);
  }

  private final Listener listener;
  private final Channel channel;
  private boolean usable;
  private boolean querySent;

  /** Begins to connect. */
  ClientConnection(EventLoop loop, InetSocketAddress router, Listener listener) {
    this.listener = listener;
    channel =
        Loopback.connect(loop, router, new Handler())
            .addListener(
                connecting -> {
                  if (!connecting.isSuccess()) {
                    listener.connectionFailed();
                  }
                })
            .channel();
  }

  /** Whether a query was sent and another one can be: no end of the connection is known. */
  boolean isUsable() {
    return usable;
  }

  /** Whether a query was sent, so that the router may have it. */
  boolean hasSentQuery() {
    return querySent;
  }

  /** Sends a statement, the first one with the startup message before it. */
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

  /** The router will end it: nothing more is to be sent. */
  void markUnusable() {
    usable = false;
  }

  void close() {
    usable = false;
    channel.close();
  }

  private final class Handler extends SimpleChannelInboundHandler<ProtocolMessage> {
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
