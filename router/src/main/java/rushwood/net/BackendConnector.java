package rushwood.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.function.Function;
import rushwood.dispatch.BackendConnection;
import rushwood.dispatch.Counters;
import rushwood.protocol.MessageWriter;
import rushwood.protocol.ResponseMemory;

/**
 * Opens connections to hosts, each a {@link BackendChannel}. Used only on the event loop of its
 * channels.
 */
public final class BackendConnector implements BackendConnection.Connector {
  private static final String LOAD_REPORT_QUERY = "SHOW gauges";

  private final Bootstrap bootstrap;
  private final Function<InetSocketAddress, SocketAddress> toSocketAddress;
  private final ByteBufAllocator allocator;
  private final Counters counters;
  private final ResponseMemory memory = new ResponseMemory();

  /**
   * Creates a connector for TCP. It sets no connect timeout because the connection pool closes
   * connections that take too long to open.
   */
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
   * Creates a connector for sockets other than TCP.
   *
   * @param bootstrap supplies the event loop, the channel type and the options
   * @param toSocketAddress maps the address of an endpoint to the socket address to connect to
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
    counters.register("response_memory_bytes", memory::usedBytes);
  }

  /** Returns the number of bytes of direct memory that hold parts of responses. */
  public long responseMemoryBytes() {
    return memory.usedBytes();
  }

  @Override
  public ByteBuf healthCheckStatement() {
    return MessageWriter.queryMessage(allocator, LOAD_REPORT_QUERY);
  }

  @Override
  public BackendConnection connect(InetSocketAddress address, BackendConnection.Listener listener) {
    BackendChannel connection = new BackendChannel(allocator, memory, counters, listener);
    connection.attach(
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
            .channel());
    return connection;
  }
}
