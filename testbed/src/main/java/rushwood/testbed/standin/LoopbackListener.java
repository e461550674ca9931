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
import java.util.function.Consumer;

/**
 * A listening socket on the loopback interface with its connections. It can be closed and opened
 * again and then has the same address; connections are reset as they are closed.
 */
final class LoopbackListener {
  private static final int BACKLOG = 1024;

  private final EventLoop loop;
  private final Consumer<Channel> initializer;
  private final ChannelGroup connections;
  private Channel listener;
  private InetSocketAddress address;

  /** {@code initializer} sets up the pipeline of each accepted connection. */
  LoopbackListener(EventLoop loop, Consumer<Channel> initializer) {
    this.loop = loop;
    this.initializer = initializer;
    connections = new DefaultChannelGroup(loop);
  }

  /** Opens it for the first time and waits until it listens; not on the loop. */
  InetSocketAddress listen() throws InterruptedException {
    open().sync();
    address = (InetSocketAddress) listener.localAddress();
    return address;
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

  InetSocketAddress address() {
    return address;
  }

  /** Resets the open connections and goes on listening. */
  void resetConnections() {
    connections.close();
  }

  /** Stops listening and resets the open connections. */
  void close() {
    listener.close();
    connections.close();
  }
}
