package rushwood.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.TimeUnit;

/** The listening socket for client connections. */
public final class ClientListener {
  /** Gives the event loop time to run its selector, which completes the deregistration. */
  private static final long DEREGISTRATION_DELAY_MILLIS = 1;

  private final ServerSocketChannel socket;
  private final Channel channel;
  private boolean stopping; // used only on the event loop

  private ClientListener(ServerSocketChannel socket, Channel channel) {
    this.socket = socket;
    this.channel = channel;
  }

  /**
   * Binds the address and passes accepted connections to the server. Blocks until the address is
   * bound, so it must not be called on the event loop.
   *
   * @throws IOException if the socket cannot be opened or bound
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public static ClientListener bind(
      EventLoopGroup eventLoopGroup, InetSocketAddress address, FrontendServer server)
      throws IOException, InterruptedException {
    ServerSocketChannel socket = SelectorProvider.provider().openServerSocketChannel();
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(eventLoopGroup)
            .channelFactory(() -> new NioServerSocketChannel(socket))
            .option(ChannelOption.SO_BACKLOG, FrontendServer.LISTEN_BACKLOG)
            .option(ChannelOption.RECVBUF_ALLOCATOR, server.acceptAllocator())
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(server);
    return new ClientListener(socket, bootstrap.bind(address).sync().channel());
  }

  /** Returns the address to which the listener is bound. */
  public SocketAddress localAddress() {
    return channel.localAddress();
  }

  /** Returns whether {@link #stop} has completed and the socket is closed. */
  public boolean isStopped() {
    return !channel.isOpen();
  }

  /**
   * Accepts all pending connections and then closes the socket. From then on the kernel refuses
   * connections, so no client can have sent a request on one. Closing the socket with connections
   * pending would reset them and lose the requests that their clients have sent.
   *
   * <p>Returns immediately; {@link #isStopped} tells when the socket is closed. The Java runtime
   * closes a socket only after its selector has released it, so the socket is deregistered first,
   * and the last connections are accepted in a later turn of the event loop.
   *
   * <p>Must be called on the event loop. Further calls have no effect.
   */
  public void stop() {
    if (!stopping) {
      stopping = true;
      channel.deregister();
      channel
          .eventLoop()
          .schedule(this::acceptAndClose, DEREGISTRATION_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void acceptAndClose() {
    try {
      for (var client = socket.accept(); client != null; client = socket.accept()) {
        registerClient(client);
      }
    } catch (IOException e) {
      // No descriptor is left, or the client has disconnected: stop accepting in either case.
      channel.pipeline().fireExceptionCaught(e);
    } finally {
      channel.close();
    }
  }

  private void registerClient(SocketChannel client) {
    channel.pipeline().fireChannelRead(new NioSocketChannel(channel, client));
  }
}
