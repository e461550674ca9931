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

/** Opens connections to hosts; reads and writes for {@link HostProtocol}. */
public final class BackendConnector implements BackendConnection.Connector {
  private static final String LOAD_REPORT_QUERY = "SHOW gauges";

  private final Bootstrap bootstrap;
  private final Function<InetSocketAddress, SocketAddress> toSocketAddress;
  private final ByteBufAllocator allocator;
  private final Counters counters;

  public BackendConnector(EventLoop loop, ByteBufAllocator allocator, Counters counters) {
    // Who waits decides how long: the pool closes what does not come up.
    this(
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0),
        address -> address,
        allocator,
        counters);
  }

  /** With sockets of another kind, and where on those an address is. */
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
  public ByteBuf probeStatement() {
    return MessageWriter.queryMessage(allocator, LOAD_REPORT_QUERY);
  }

  @Override
  public BackendConnection connect(InetSocketAddress to, BackendConnection.Listener events) {
    ChannelConnection connection = new ChannelConnection(events);
    connection.channel =
        bootstrap
            .clone()
            .handler(connection)
            .connect(toSocketAddress.apply(to))
            .addListener(
                connected -> {
                  if (!connected.isSuccess()) {
                    // Reset at once it was accepted all the same: a host that is gone refuses, or
                    // says nothing.
                    Throwable cause = connected.cause();
                    connection.accepted =
                        !(cause instanceof ConnectException
                            || cause instanceof NoRouteToHostException);
                    connection.connectionLost();
                  }
                })
            .channel();
    return connection;
  }

  private final class ChannelConnection extends ChannelInboundHandlerAdapter
      implements BackendConnection {
    private final BackendProtocol protocol;
    private Channel channel;
    private boolean accepted;
    private boolean written;
    private boolean closed;

    ChannelConnection(BackendConnection.Listener events) {
      protocol = new BackendProtocol(allocator, events);
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
    public void send(ByteBuf statement, boolean probe) {
      written = false;
      protocol.beginStatement(probe);
      channel.writeAndFlush(statement).addListener(done -> written |= done.isSuccess());
    }

    @Override
    public boolean isStatementWritten() {
      return written;
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
