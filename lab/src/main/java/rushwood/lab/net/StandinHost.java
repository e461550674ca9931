package rushwood.lab.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import rushwood.lab.model.HostModel;

/**
 * A host of the store on a loopback address; all of one laboratory run on one event loop, by one
 * clock.
 */
public final class StandinHost {
  private static final int BACKLOG = 1024;
  private static final long MS = 1_000_000L;

  private final String id;
  private final HostModel model;
  private final EventLoop loop;
  private final LongSupplier clock;
  private final ChannelGroup connections;
  private final BiConsumer<Statement, Boolean> ran;
  private InetSocketAddress address;
  private Channel listener;
  private long accepted;
  private long offered;
  private long overfull;
  private Consumer<Statement> hears = statement -> {};

  /** {@code ran} hears of each statement that was done, and whether its answer could be written. */
  public StandinHost(
      String id,
      HostModel model,
      EventLoop loop,
      LongSupplier clock,
      BiConsumer<Statement, Boolean> ran) {
    this.id = id;
    this.model = model;
    this.loop = loop;
    this.clock = clock;
    this.ran = ran;
    connections = new DefaultChannelGroup(loop);
  }

  public String id() {
    return id;
  }

  public HostModel model() {
    return model;
  }

  public InetSocketAddress address() {
    return address;
  }

  /** Who hears of each statement as it comes, whatever becomes of it. */
  public void hears(Consumer<Statement> listener) {
    hears = listener;
  }

  public long accepted() {
    return accepted;
  }

  public long offered() {
    return offered;
  }

  public long overfull() {
    return overfull;
  }

  /** Listens, at the address that it had before if it had one. */
  public void listen() throws InterruptedException {
    bind().sync();
    address = (InetSocketAddress) listener.localAddress();
  }

  private ChannelFuture bind() {
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
                    accepted++;
                    connections.add(channel);
                    channel.pipeline().addLast(new Frames(true), new Connection());
                  }
                })
            .bind(address == null ? new InetSocketAddress("127.0.0.1", 0) : address);
    listener = bound.channel();
    return bound;
  }

  /** Its process ends: connections are reset, new ones refused. Called on the loop. */
  public void die() {
    model.die();
    listener.close();
    connections.close();
  }

  /** A new process at the same address. Called on the loop. */
  public void start() {
    model.start(clock.getAsLong());
    bind();
  }

  public void close() {
    listener.close();
    connections.close();
  }

  private final class Connection extends SimpleChannelInboundHandler<Frames.Message> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, Frames.Message message) {
      ByteBuf out = context.alloc().buffer(256);
      if (message.type() == 0) {
        Frames.welcome(out);
      } else if (message.type() == 'Q') {
        String text = message.text().substring(0, message.text().length() - 1);
        if (text.startsWith("SHOW")) {
          gauges(out);
        } else {
          ask(context, Statement.of(text), out);
        }
      } else {
        context.close();
      }
      write(context, out);
    }

    private void write(ChannelHandlerContext context, ByteBuf out) {
      if (out.isReadable()) {
        context.writeAndFlush(out);
      } else {
        out.release();
      }
    }

    private void gauges(ByteBuf out) {
      long position = model.position(clock.getAsLong()) / MS;
      Frames.row(
          out,
          "x0="
              + position / 1000
              + "."
              + String.format("%03d", position % 1000)
              + ",x1="
              + (model.isPrimary() ? 1 : 0));
      Frames.ready(out);
    }

    private void role(ByteBuf out) {
      Frames.parameter(out, "part", model.isPrimary() ? "master" : "replica");
      Frames.parameter(out, "caught_up_to", Long.toString(model.position(clock.getAsLong()) / MS));
      Frames.ready(out);
    }

    private void ask(ChannelHandlerContext context, Statement statement, ByteBuf out) {
      offered++;
      hears.accept(statement);
      long now = clock.getAsLong();
      boolean any = statement.value("c").equals("any");
      HostModel.Reply reply = model.offer(now, statement.write(), any ? -1 : 500 * MS);
      int life = model.life();
      switch (reply.verdict()) {
        case SILENT -> {
          if (!model.isUp()) {
            die(); // it fell over
          }
        }
        case OVERFULL -> {
          overfull++;
          Frames.error(out, "53300");
          role(out);
        }
        case NOT_PRIMARY, TOO_FAR_BEHIND -> {
          Frames.error(out, reply.verdict() == HostModel.Verdict.NOT_PRIMARY ? "25006" : "72000");
          role(out);
        }
        case TAKEN ->
            loop.schedule(
                () -> done(context, statement, life), reply.doneAt() - now, TimeUnit.NANOSECONDS);
      }
    }

    private void done(ChannelHandlerContext context, Statement statement, int life) {
      if (model.life() != life) {
        return; // the process that worked on it is gone
      }
      ran.accept(statement, context.channel().isActive());
      ByteBuf out = context.alloc().buffer(256);
      Frames.row(out, statement.key());
      role(out);
      context.writeAndFlush(out);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
