package rushwood.testbed.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Creates addresses and client connections on the loopback interface. */
public final class Loopback {
  private static final String HOST = "127.0.0.1";

  private Loopback() {}

  /** Returns an address for binding to a port that the system chooses. */
  static InetSocketAddress anyPort() {
    return new InetSocketAddress(HOST, 0);
  }

  /** Returns an address whose port is free now; it is not reserved for the caller. */
  public static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return new InetSocketAddress(HOST, socket.getLocalPort());
    }
  }

  /** Formats an address as {@code host:port} for configurations and the endpoint list. */
  public static String format(InetSocketAddress address) {
    return HOST + ":" + address.getPort();
  }

  /**
   * Connects a client of the database protocol to a router.
   *
   * @param loop the event loop of the connection
   * @param messageHandler receives the router's messages as {@link ProtocolMessage}s
   */
  public static ChannelFuture connect(
      EventLoop loop, InetSocketAddress router, ChannelHandler messageHandler) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(MessageDecoder.forClient(), messageHandler);
              }
            })
        .connect(router);
  }
}
