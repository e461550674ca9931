package rushwood.testbed.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * A listening socket on the loopback interface and the connections that it accepted. It can be
 * closed and reopened at the same address. Connections are closed with a TCP reset.
 */
final class LoopbackListener {
  private static final int BACKLOG = 1024;

  private final EventLoop loop;
  private final Consumer<Channel> initializer;
  private final ChannelGroup connections;
  private @Nullable Channel listener;
  private @Nullable InetSocketAddress address;

  /**
   * Creates a listener that is not open yet.
   *
   * @param loop the event loop of the listening socket and its connections
   * @param initializer sets up the pipeline of each accepted connection
   */
  LoopbackListener(EventLoop loop, Consumer<Channel> initializer) {
    this.loop = loop;
    this.initializer = initializer;
    connections = new DefaultChannelGroup(loop);
  }

  /**
   * Opens the listener for the first time, waits until it listens and returns its address. Must not
   * be called on the event loop.
   */
  InetSocketAddress listen() throws InterruptedException {
    InetSocketAddress bound = (InetSocketAddress) open().sync().channel().localAddress();
    address = bound;
    return bound;
  }

  /**
   * Opens the listener, at its earlier address if it had one; the future completes once it listens.
   */
  ChannelFuture open() {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_LINGER, 0)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    connections.add(channel);
                    initializer.accept(channel);
                  }
                })
            .bind(address == null ? Loopback.anyPort() : address);
    listener = bound.channel();
    return bound;
  }

  /**
   * Returns the address on which the listener listens or, when it is closed, listened.
   *
   * @throws NullPointerException if {@link #listen} has not returned yet
   */
  InetSocketAddress address() {
    return Objects.requireNonNull(address, "the listener has not been opened");
  }

  /** Resets the open connections and keeps listening. */
  void resetConnections() {
    connections.close();
  }

  /** Stops listening and resets the open connections. */
  void close() {
    if (listener != null) {
      listener.close();
    }
    connections.close();
  }
}
