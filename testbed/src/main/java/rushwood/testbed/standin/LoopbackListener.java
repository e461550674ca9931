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
 * A listening socket on the loopback interface with its connections. It can be closed and opened
 * again and then has the same address; connections are reset as they are closed.
 */
final class LoopbackListener {
  private static final int BACKLOG = 1024;

  private final EventLoop loop;
  private final Consumer<Channel> initializer;
  private final ChannelGroup connections;
  private @Nullable Channel listener;
  private @Nullable InetSocketAddress address;

  /** {@code initializer} sets up the pipeline of each accepted connection. */
  LoopbackListener(EventLoop loop, Consumer<Channel> initializer) {
    this.loop = loop;
    this.initializer = initializer;
    connections = new DefaultChannelGroup(loop);
  }

  /** Opens it for the first time and waits until it listens; not on the loop. */
  InetSocketAddress listen() throws InterruptedException {
    InetSocketAddress bound = (InetSocketAddress) open().sync().channel().localAddress();
    address = bound;
    return bound;
  }

  /** Opens it, at the address that it had before if it had one. */
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

  /** Where it listens, or did before it was closed. */
  InetSocketAddress address() {
    return Objects.requireNonNull(address, "it has not been opened");
  }

  /** Resets the open connections and goes on listening. */
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
