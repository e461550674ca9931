package rushwood.testbed.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import rushwood.testbed.standin.MessageCodec;
import rushwood.testbed.standin.Statement;

/**
 * Clients of one router that ask evenly, on as many connections as it takes; what was asked and
 * answered is counted.
 */
public final class SteadyLoad {
  private static final int ANSWER_TIMEOUT_MILLIS = 2000; // ms for each answer

  private final String name;
  private final EventLoop loop;
  private final InetSocketAddress router;
  private final String requestClass;
  private final Deque<Connection> idle = new ArrayDeque<>();
  private ScheduledFuture<?> sendTask;
  private long sent;
  private long succeeded;
  private long failed;
  private long connectionsLost;

  /** {@code name} begins the id of each of its accesses. */
  public SteadyLoad(String name, EventLoop loop, InetSocketAddress router, String requestClass) {
    this.name = name;
    this.loop = loop;
    this.router = router;
    this.requestClass = requestClass;
  }

  public void start(int requestsPerSecond) {
    sendTask =
        loop.scheduleAtFixedRate(
            this::sendNext, 0, 1_000_000_000L / requestsPerSecond, TimeUnit.NANOSECONDS);
  }

  /** No more is asked; what is open stays. */
  public void pause() {
    sendTask.cancel(false);
  }

  public long sent() {
    return sent;
  }

  public long succeeded() {
    return succeeded;
  }

  /** Told an error: turned back, given up or not taken. */
  public long failed() {
    return failed;
  }

  /** Without an answer when the connection ended, or when it could not be opened. */
  public long connectionsLost() {
    return connectionsLost;
  }

  private void sendNext() {
    Connection connection = idle.poll();
    if (connection == null) {
      connection = new Connection();
      connection.connect();
    }
    connection.send();
  }

  private final class Connection extends SimpleChannelInboundHandler<MessageCodec.Message> {
    private Channel channel;
    private boolean ready;
    private boolean awaitingAnswer;
    private boolean errorReceived;

    private void connect() {
      new Bootstrap()
          .group(loop)
          .channel(NioSocketChannel.class)
          .option(ChannelOption.TCP_NODELAY, true)
          .handler(
              new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel made) {
                  channel = made;
                  made.pipeline().addLast(new MessageCodec(false), Connection.this);
                }
              })
          .connect(router)
          .addListener(
              done -> {
                if (!done.isSuccess()) {
                  connectionEnded();
                }
              });
    }

    private void send() {
      awaitingAnswer = true;
      errorReceived = false;
      if (ready) {
        writeQuery();
      }
    }

    private void writeQuery() {
      ByteBuf out = channel.alloc().buffer(256);
      MessageCodec.write(
          out,
          'Q',
          Statement.format(
                  false, "k" + sent % 100, name + sent, requestClass, ANSWER_TIMEOUT_MILLIS, 0)
              + "\0");
      sent++;
      channel.writeAndFlush(out);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      ByteBuf out = context.alloc().buffer(64);
      MessageCodec.writeStartup(out);
      context.writeAndFlush(out);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, MessageCodec.Message message) {
      if (message.type() == 'E') {
        errorReceived = true;
      } else if (message.type() == 'Z' && !ready) {
        ready = true;
        writeQuery();
      } else if (message.type() == 'Z') {
        awaitingAnswer = false;
        succeeded += errorReceived ? 0 : 1;
        failed += errorReceived ? 1 : 0;
        idle.push(this);
      }
    }

    private void connectionEnded() {
      idle.remove(this);
      connectionsLost += awaitingAnswer ? 1 : 0;
      awaitingAnswer = false;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connectionEnded();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
