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
 * Sends requests to one router at even intervals, each on an idle connection or else on a new one.
 * The contents of answers are ignored, and a request whose connection closes is not resent. Used on
 * the event loop only.
 */
public final class SteadyLoad {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final int ANSWER_TIMEOUT_MILLIS = 2000;
  private static final int KEY_COUNT = 100;
  private static final int GROUP = 0;
  private static final int BUFFER_BYTES = 256;

  private final String idPrefix;
  private final EventLoop loop;
  private final InetSocketAddress router;
  private final TestbedRequestClass requestClass;
  private final Deque<Channel> idleChannels = new ArrayDeque<>();
  private @Nullable ScheduledFuture<?> sendTask;
  private long requestsSent;
  private long requestsServed;
  private long requestsAnswered;

  /** Creates the load, which sends nothing yet; each request's id begins with {@code idPrefix}. */
  public SteadyLoad(
      String idPrefix, EventLoop loop, InetSocketAddress router, TestbedRequestClass requestClass) {
    this.idPrefix = idPrefix;
    this.loop = loop;
    this.router = router;
    this.requestClass = requestClass;
  }

  /** Starts sending, or resumes after {@link #pause}. */
  public void start(int requestsPerSecond) {
    long interval = NANOS_PER_SECOND / requestsPerSecond;
    sendTask = loop.scheduleAtFixedRate(this::sendNext, 0, interval, TimeUnit.NANOSECONDS);
  }

  /** Stops sending; open connections are kept. */
  public void pause() {
    if (sendTask != null) {
      sendTask.cancel(false);
    }
  }

  /** Returns the number of requests sent so far. */
  public long requestsSent() {
    return requestsSent;
  }

  /** Returns the number of requests that were answered with a row so far. */
  public long requestsServed() {
    return requestsServed;
  }

  /** Returns the number of requests that were answered so far, with a row or with an error. */
  public long requestsAnswered() {
    return requestsAnswered;
  }

  private void sendNext() {
    Channel idleChannel = idleChannels.poll();
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
            requestClass,
            "k" + requestsSent % KEY_COUNT,
            idPrefix + requestsSent,
            ANSWER_TIMEOUT_MILLIS,
            GROUP));
    requestsSent++;
    channel.writeAndFlush(out);
  }

  /** Handles a connection with one request at a time, the first as soon as the router is ready. */
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
      if (message.type() == ProtocolMessage.DATA_ROW) {
        requestsServed++;
      }
      if (message.type() != ProtocolMessage.READY_FOR_QUERY) {
        return;
      }
      if (ready) {
        requestsAnswered++;
        idleChannels.push(context.channel());
      } else {
        ready = true;
        sendQuery(context.channel());
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      idleChannels.remove(context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
