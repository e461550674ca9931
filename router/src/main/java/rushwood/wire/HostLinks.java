package rushwood.wire;

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
import rushwood.dispatch.Counters;

/** Opens connections to hosts; reads and writes for {@link HostProtocol}. */
public final class HostLinks implements BackendConnection.Connector {
  private static final String PROBE = "SHOW gauges";

  private final Bootstrap bootstrap;
  private final Function<InetSocketAddress, SocketAddress> where;
  private final ByteBufAllocator allocator;
  private final Counters counters;

  public HostLinks(EventLoop loop, ByteBufAllocator allocator, Counters counters) {
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
  public HostLinks(
      Bootstrap bootstrap,
      Function<InetSocketAddress, SocketAddress> where,
      ByteBufAllocator allocator,
      Counters counters) {
    this.bootstrap = bootstrap.option(ChannelOption.ALLOCATOR, allocator);
    this.where = where;
    this.allocator = allocator;
    this.counters = counters;
  }

  public ByteBuf probe() {
    return Messages.query(allocator, PROBE);
  }

  @Override
  public BackendConnection connect(InetSocketAddress to, BackendConnection.Listener events) {
    Handler handler = new Handler(events);
    handler.channel =
        bootstrap
            .clone()
            .handler(handler)
            .connect(where.apply(to))
            .addListener(
                connected -> {
                  if (!connected.isSuccess()) {
                    // Reset at once it was accepted all the same: a host that is gone refuses, or
                    // says nothing.
                    Throwable cause = connected.cause();
                    handler.accepted =
                        !(cause instanceof ConnectException
                            || cause instanceof NoRouteToHostException);
                    handler.end();
                  }
                })
            .channel();
    return handler;
  }

  private final class Handler extends ChannelInboundHandlerAdapter implements BackendConnection {
    private final HostProtocol protocol;
    private Channel channel;
    private boolean accepted;
    private boolean written;
    private boolean over;

    Handler(BackendConnection.Listener events) {
      protocol = new HostProtocol(allocator, events);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      accepted = true;
      context.writeAndFlush(Messages.startup(allocator));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (over) {
        ((ByteBuf) message).release();
      } else if (!protocol.feed((ByteBuf) message) && !over) {
        counters.increment(Counters.Counter.BACKEND_PROTOCOL_ERRORS);
        end();
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      if (!over && !protocol.settle()) {
        counters.increment(Counters.Counter.BACKEND_EXCESS_DATA);
        end();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      end();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      end();
    }

    private void end() {
      if (!over) {
        over = true;
        protocol.ended(accepted);
        channel.close();
      }
    }

    @Override
    public void send(ByteBuf statement, boolean probe) {
      written = false;
      protocol.asked(probe);
      channel.writeAndFlush(statement).addListener(done -> written |= done.isSuccess());
    }

    @Override
    public boolean isStatementWritten() {
      return written;
    }

    @Override
    public boolean isOpen() {
      return !over && channel.isActive() && protocol.usable();
    }

    @Override
    public void close() {
      if (!over) {
        over = true;
        protocol.closed();
        channel.close();
      }
    }
  }
}
