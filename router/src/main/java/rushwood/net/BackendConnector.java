package rushwood.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketAddress;
import java.util.function.Function;
import rushwood.dispatch.BackendConnection;
import rushwood.dispatch.Counter;
import rushwood.dispatch.Counters;
import rushwood.protocol.BackendProtocol;
import rushwood.protocol.MessageWriter;

/**
 * Opens connections to hosts, each a channel that reads and writes for a {@link BackendProtocol}.
 * Used on the event loop of its channels only.
 */
public final class BackendConnector implements BackendConnection.Connector {
  private static final String LOAD_REPORT_QUERY = "SHOW gauges";

  private final Bootstrap bootstrap;
  private final Function<InetSocketAddress, SocketAddress> toSocketAddress;
  private final ByteBufAllocator allocator;
  private final Counters counters;

  /** Connects over TCP. Connecting has no time limit here: the pool closes what takes too long. */
  public BackendConnector(EventLoop eventLoop, ByteBufAllocator allocator, Counters counters) {
    this(
        new Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0),
        address -> address,
        allocator,
        counters);
  }

  /**
   * Connects with other sockets than TCP's.
   *
   * @param bootstrap event loop, kind of channel and options
   * @param toSocketAddress the address to connect to for a listed address
   */
  public BackendConnector(
      Bootstrap bootstrap,
      Function<InetSocketAddress, SocketAddress> toSocketAddress,
      ByteBufAllocator allocator,
      Counters counters) {
    this.bootstrap = bootstrap.option(ChannelOption.ALLOCATOR, allocator);
    this.toSocketAddress = toSocketAddress;
    this.allocator = allocator;
    this.counters = counters;
  }

  @Override
  public ByteBuf healthCheckStatement() {
    return MessageWriter.queryMessage(allocator, LOAD_REPORT_QUERY);
  }

  @Override
  public BackendConnection connect(InetSocketAddress address, BackendConnection.Listener listener) {
    ChannelConnection connection = new ChannelConnection(listener);
    connection.channel =
        bootstrap
            .clone()
            .handler(connection)
            .connect(toSocketAddress.apply(address))
            .addListener(
                connected -> {
                  if (!connected.isSuccess()) {
                    connection.connectFailed(connected.cause());
                  }
                })
            .channel();
    return connection;
  }

  /** One connection: the handler of its channel. */
  private final class ChannelConnection extends ChannelInboundHandlerAdapter
      implements BackendConnection {
    private final BackendProtocol protocol;
    private Channel channel;
    private boolean accepted;
    private boolean statementWritten;
    private boolean closed; // the protocol has been told, and hears nothing more

    ChannelConnection(BackendConnection.Listener listener) {
      protocol = new BackendProtocol(allocator, listener);
    }

    /**
     * A host that is gone refuses a connection or does not react. Any other failure means that it
     * accepted the connection and reset it at once.
     */
    private void connectFailed(Throwable cause) {
      accepted = !(cause instanceof ConnectException || cause instanceof NoRouteToHostException);
      connectionLost();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      accepted = true;
      context.writeAndFlush(MessageWriter.startupMessage(allocator));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (closed) {
        ((ByteBuf) message).release();
      } else if (!protocol.feed((ByteBuf) message) && !closed) {
        counters.increment(Counter.BACKEND_PROTOCOL_ERRORS);
        connectionLost();
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      if (!closed && !protocol.completeRead()) {
        counters.increment(Counter.BACKEND_EXCESS_DATA);
        connectionLost();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connectionLost();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      connectionLost();
    }

    private void connectionLost() {
      if (!closed) {
        closed = true;
        protocol.connectionLost(accepted);
        channel.close();
      }
    }

    @Override
    public void send(ByteBuf statement, boolean isHealthCheck) {
      statementWritten = false;
      protocol.beginStatement(isHealthCheck);
      channel
          .writeAndFlush(statement)
          .addListener(written -> statementWritten |= written.isSuccess());
    }

    @Override
    public boolean isStatementWritten() {
      return statementWritten;
    }

    @Override
    public boolean isOpen() {
      return !closed && channel.isActive() && protocol.isUsable();
    }

    @Override
    public void close() {
      if (!closed) {
        closed = true;
        protocol.close();
        channel.close();
      }
    }
  }
}
