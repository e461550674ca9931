package rushwood.testbed.standin;

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
import rushwood.testbed.model.HostModel;

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
  private final BiConsumer<Statement, Boolean> executionListener;
  private InetSocketAddress address;
  private Channel listener;
  private long acceptedConnections;
  private long receivedRequests;
  private long overloadedReplies;
  private Consumer<Statement> onStatement = statement -> {};

  /** {@code ran} hears of each statement that was done, and whether its answer could be written. */
  public StandinHost(
      String id,
      HostModel model,
      EventLoop loop,
      LongSupplier clock,
      BiConsumer<Statement, Boolean> executionListener) {
    this.id = id;
    this.model = model;
    this.loop = loop;
    this.clock = clock;
    this.executionListener = executionListener;
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
  public void onStatement(Consumer<Statement> listener) {
    onStatement = listener;
  }

  public long acceptedConnections() {
    return acceptedConnections;
  }

  public long receivedRequests() {
    return receivedRequests;
  }

  public long overloadedReplies() {
    return overloadedReplies;
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
                    acceptedConnections++;
                    connections.add(channel);
                    channel.pipeline().addLast(new MessageCodec(true), new ConnectionHandler());
                  }
                })
            .bind(address == null ? new InetSocketAddress("127.0.0.1", 0) : address);
    listener = bound.channel();
    return bound;
  }

  /** Its process ends: connections are reset, new ones refused. Called on the loop. */
  public void crash() {
    model.crash();
    listener.close();
    connections.close();
  }

  /** A new process at the same address. Called on the loop. */
  public void restart() {
    model.restart(clock.getAsLong());
    bind();
  }

  public void close() {
    listener.close();
    connections.close();
  }

  private final class ConnectionHandler extends SimpleChannelInboundHandler<MessageCodec.Message> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, MessageCodec.Message message) {
      ByteBuf out = context.alloc().buffer(256);
      if (message.type() == 0) {
        MessageCodec.writeAuthenticationOk(out);
      } else if (message.type() == 'Q') {
        String text = message.text().substring(0, message.text().length() - 1);
        if (text.startsWith("SHOW")) {
          writeLoadReport(out);
        } else {
          handleStatement(context, Statement.parse(text), out);
        }
      } else {
        context.close();
      }
      writeOrRelease(context, out);
    }

    private void writeOrRelease(ChannelHandlerContext context, ByteBuf out) {
      if (out.isReadable()) {
        context.writeAndFlush(out);
      } else {
        out.release();
      }
    }

    private void writeLoadReport(ByteBuf out) {
      long position = model.position(clock.getAsLong()) / MS;
      MessageCodec.writeRow(
          out,
          "x0="
              + position / 1000
              + "."
              + String.format("%03d", position % 1000)
              + ",x1="
              + (model.isPrimary() ? 1 : 0));
      MessageCodec.writeReadyForQuery(out);
    }

    private void writeRoleAndReady(ByteBuf out) {
      MessageCodec.writeParameterStatus(out, "part", model.isPrimary() ? "master" : "replica");
      MessageCodec.writeParameterStatus(
          out, "caught_up_to", Long.toString(model.position(clock.getAsLong()) / MS));
      MessageCodec.writeReadyForQuery(out);
    }

    private void handleStatement(ChannelHandlerContext context, Statement statement, ByteBuf out) {
      receivedRequests++;
      onStatement.accept(statement);
      long now = clock.getAsLong();
      boolean eventual = statement.commentValue("c").equals("any");
      HostModel.OfferResult result = model.offer(now, statement.write(), eventual ? -1 : 500 * MS);
      int incarnation = model.incarnation();
      switch (result.status()) {
        case NO_RESPONSE -> {
          if (!model.isUp()) {
            crash(); // it fell over
          }
        }
        case OVERLOADED -> {
          overloadedReplies++;
          MessageCodec.writeError(out, "53300");
          writeRoleAndReady(out);
        }
        case NOT_PRIMARY, REPLICA_LAGGING -> {
          MessageCodec.writeError(
              out, result.status() == HostModel.OfferStatus.NOT_PRIMARY ? "25006" : "72000");
          writeRoleAndReady(out);
        }
        case ACCEPTED ->
            loop.schedule(
                () -> complete(context, statement, incarnation),
                result.completesAt() - now,
                TimeUnit.NANOSECONDS);
      }
    }

    private void complete(ChannelHandlerContext context, Statement statement, int incarnation) {
      if (model.incarnation() != incarnation) {
        return; // the process that worked on it is gone
      }
      executionListener.accept(statement, context.channel().isActive());
      ByteBuf out = context.alloc().buffer(256);
      MessageCodec.writeRow(out, statement.key());
      writeRoleAndReady(out);
      context.writeAndFlush(out);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
