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

/** The socket at which clients connect. {@link #stop} is called on the event loop. */
public final class ClientListener {
  /** Long enough that the event loop has run its selector before. */
  private static final long SELECT_MILLIS = 1;

  private final ServerSocketChannel socket;
  private final Channel channel;
  private boolean stopping; // used on the event loop only

  private ClientListener(ServerSocketChannel socket, Channel channel) {
    this.socket = socket;
    this.channel = channel;
  }

  /**
   * Binds the address and hands accepted connections to the server; blocks until that is done.
   *
   * @throws IOException if no socket can be opened
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

  /** Where it listens. */
  public SocketAddress localAddress() {
    return channel.localAddress();
  }

  /** Whether {@link #stop} is done. */
  public boolean isStopped() {
    return !channel.isOpen();
  }

  /**
   * Accepts the connections that wait, and closes the socket: whoever comes later is refused by the
   * kernel, and so has sent nothing. A socket that is closed while connections wait resets them,
   * with the requests that their clients have sent.
   *
   * <p>Done when {@link #isStopped}: the Java runtime closes a socket only once its selector has
   * let go of it, so it is taken out of the selector first, and the last connections are accepted
   * in a later turn of the event loop.
   */
  public void stop() {
    if (!stopping) {
      stopping = true;
      channel.deregister();
      channel.eventLoop().schedule(this::acceptAndClose, SELECT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void acceptAndClose() {
    try {
      for (var client = socket.accept(); client != null; client = socket.accept()) {
        handOver(client);
      }
    } catch (IOException e) {
      // No descriptor is left, or the client has gone: the others cannot be accepted either.
      channel.pipeline().fireExceptionCaught(e);
    } finally {
      channel.close();
    }
  }

  private void handOver(SocketChannel client) {
    channel.pipeline().fireChannelRead(new NioSocketChannel(channel, client));
  }
}
