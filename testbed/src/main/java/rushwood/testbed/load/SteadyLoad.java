package rushwood.testbed.load;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import rushwood.testbed.model.TestbedRequestClass;
import rushwood.testbed.standin.Loopback;
import rushwood.testbed.standin.MessageEncoder;
import rushwood.testbed.standin.ProtocolMessage;
import rushwood.testbed.standin.Statement;

/**
 * Reads sent to one router at even intervals, on as many connections as it takes. What is answered
 * does not matter; a request whose connection ends is not sent again. Used on the event loop only.
 */
public final class SteadyLoad {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final int ANSWER_TIMEOUT_MILLIS = 2000;
  private static final int KEYS = 100;
  private static final int GROUP = 0;
  private static final int BUFFER_BYTES = 256;

  private final String idPrefix;
  private final EventLoop loop;
  private final InetSocketAddress router;
  private final TestbedRequestClass requestClass;
  private final Deque<Channel> idle = new ArrayDeque<>();
  private @Nullable ScheduledFuture<?> sendTask;
  private long sent;

  /** The id of each request begins with {@code idPrefix}. */
  public SteadyLoad(
      String idPrefix, EventLoop loop, InetSocketAddress router, TestbedRequestClass requestClass) {
    this.idPrefix = idPrefix;
    this.loop = loop;
    this.router = router;
    this.requestClass = requestClass;
  }

  /** Begins to send. */
  public void start(int requestsPerSecond) {
    long interval = NANOS_PER_SECOND / requestsPerSecond;
    sendTask = loop.scheduleAtFixedRate(this::sendNext, 0, interval, TimeUnit.NANOSECONDS);
  }

  /** Stops sending; connections stay open. */
  public void pause() {
    if (sendTask != null) {
      sendTask.cancel(false);
    }
  }

  /** Requests that were sent. */
  public long sent() {
    return sent;
  }

  private void sendNext() {
    Channel idleChannel = idle.poll();
    if (idleChannel == null) {
      Loopback.connect(loop, router, new ConnectionHandler());
    } else {
      sendQuery(idleChannel);
    }
  }

  private void sendQuery(Channel channel) {
    ByteBuf out = channel.alloc().buffer(BUFFER_BYTES);
    MessageEncoder.writeQuery(
        out,
        Statement.format(
            requestClass, "k" + sent % KEYS, idPrefix + sent, ANSWER_TIMEOUT_MILLIS, GROUP));
    sent++;
    channel.writeAndFlush(out);
  }

  /** A connection that has one request at a time, the first as soon as the router is ready. */
  private final class ConnectionHandler extends SimpleChannelInboundHandler<ProtocolMessage> {
    private boolean ready;

    @Override
    public void channelActive(ChannelHandlerContext context) {
      ByteBuf out = context.alloc().buffer(BUFFER_BYTES);
      MessageEncoder.writeStartup(out);
      context.writeAndFlush(out);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ProtocolMessage message) {
      if (message.type() != ProtocolMessage.READY_FOR_QUERY) {
        return;
      }
      if (ready) {
        idle.push(context.channel());
      } else {
        ready = true;
        sendQuery(context.channel());
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      idle.remove(context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
