package rushwood.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.PartialEndpoint;
import rushwood.dispatch.TimerQueue;

/**
 * HTTP client of the discovery agent. It makes the requests that {@link EndpointRefreshPolicy} asks
 * for, parses the responses and passes the lists that the policy accepts to a {@link Listener}.
 *
 * <p>Runs on one event loop: every method and every listener call, from there.
 */
public final class DiscoveryClient {
  /** Receives the endpoint lists and the failures. */
  public interface Listener {
    /** A list that is to be applied in full. */
    void listReceived(EndpointList list);

    /** Endpoints that are draining or removed, from a list that is not applied otherwise. */
    void endpointsLeaving(List<PartialEndpoint> endpoints);

    /** A poll brought the list that is held already. */
    void listUnchanged();

    /**
     * A request failed; {@code reason} goes on after the agent's name, as in "does not respond".
     */
    void requestFailed(String reason);

    /** A part of a list could not be read; the rest is passed on. */
    void problemFound(String problem);
  }

  /**
   * What the client needs to know of the router and its agent.
   *
   * @param address the agent's
   * @param drainGraceNanos time after which a leaving endpoint may get nothing new
   * @param lastKnownVersion version of the list held from an earlier process, 0 for none
   */
  public record Settings(InetSocketAddress address, long drainGraceNanos, long lastKnownVersion) {}

  private final EventLoop loop;
  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final Listener listener;
  private final EndpointRefreshPolicy refreshPolicy;
  private final Map<Integer, DiscoveryRequest> openRequests = new HashMap<>();
  private InetSocketAddress address;
  private TimerQueue.ScheduledTask wakeup;

  /** Creates a client that does nothing until {@link #start}. */
  public DiscoveryClient(
      EventLoop loop,
      EventLoopClock clock,
      TimerQueue timers,
      Settings settings,
      RandomGenerator random,
      Listener listener) {
    this.loop = loop;
    this.clock = clock;
    this.timers = timers;
    this.listener = listener;
    address = settings.address();
    refreshPolicy =
        new EndpointRefreshPolicy(
            settings.drainGraceNanos(), settings.lastKnownVersion(), random, new HttpTransport());
  }

  /** Polls the agent at once, then keeps the list current. */
  public void start() {
    refreshPolicy.start(clock.now());
  }

  /**
   * Polls the agent at another address at once. Versions of the agent before do not compare with
   * its own, and that requests to the old address end is no failure.
   */
  public void changeAddress(InetSocketAddress newAddress) {
    address = newAddress;
    refreshPolicy.addressChanged(clock.now());
  }

  /** Closes all requests and the timer. */
  public void close() {
    refreshPolicy.stop();
    if (wakeup != null) {
      wakeup.cancel();
    }
  }

  private final class HttpTransport implements EndpointRefreshPolicy.Transport {
    @Override
    public void open(int requestNumber, boolean watch, long sinceVersion) {
      DiscoveryRequest request = new DiscoveryRequest(requestNumber, watch, sinceVersion);
      openRequests.put(requestNumber, request);
      request.connect();
    }

    @Override
    public void close(int requestNumber, boolean timedOut) {
      DiscoveryRequest request = openRequests.remove(requestNumber);
      if (request != null) {
        request.close();
        if (timedOut) {
          listener.requestFailed("does not respond");
        }
      }
    }

    @Override
    public void scheduleWakeup(long at) {
      if (wakeup != null) {
        wakeup.cancel();
      }
      wakeup = timers.schedule(at, () -> refreshPolicy.timerFired(clock.now()));
    }
  }

  /** One request: a poll or a watch. Calls of {@link #fail} after {@link #close} do nothing. */
  private final class DiscoveryRequest extends SimpleChannelInboundHandler<HttpObject> {
    private final int number;
    private final boolean watch;
    private final long sinceVersion;
    private final EndpointListParser parser;
    private Channel channel;
    private boolean closed;

    DiscoveryRequest(int number, boolean watch, long sinceVersion) {
      this.number = number;
      this.watch = watch;
      this.sinceVersion = sinceVersion;
      parser =
          watch
              ? EndpointListParser.forWatch()
              : EndpointListParser.forPoll(
                  refreshPolicy.cachedVersion(), refreshPolicy.cachedChecksum());
    }

    /** Connects without a time limit: the policy closes a request that takes too long. */
    void connect() {
      Bootstrap bootstrap =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel initialized) {
                      initialized.pipeline().addLast(new HttpClientCodec(), DiscoveryRequest.this);
                    }
                  });
      ChannelFuture connecting = bootstrap.connect(address);
      connecting.addListener(
          connected -> {
            if (!connected.isSuccess()) {
              fail("cannot be reached");
            }
          });
      channel = connecting.channel();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      String path = watch ? DiscoveryProtocol.watchPath(sinceVersion) : DiscoveryProtocol.LIST_PATH;
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
      request
          .headers()
          .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
      context.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
      if (closed) {
        return;
      }
      if (message.decoderResult().isFailure()) {
        fail("sent invalid HTTP");
      } else if (message instanceof HttpResponse response
          && !response.status().equals(HttpResponseStatus.OK)) {
        fail("answered with HTTP status " + response.status().code());
      } else if (message instanceof HttpContent content) {
        read(content.content(), message instanceof LastHttpContent);
      }
    }

    private void read(ByteBuf content, boolean last) {
      try {
        parse(content, last);
      } catch (UnreadableListException e) {
        reportLeaving(e.leavingEndpoints());
        fail("sent an unreadable endpoint list: " + e.getMessage());
        return;
      }
      if (!closed) {
        refreshPolicy.dataReceived(clock.now(), number, parser.isBetweenLists());
      }
      if (last && !closed) {
        endOfResponse();
      }
    }

    /** Stops as soon as a list has made the policy close this request. */
    private void parse(ByteBuf content, boolean last) throws UnreadableListException {
      EndpointList list = parser.next(content);
      while (list != null && !closed) {
        accept(list);
        list = parser.next(content);
      }
      if (last && !closed) {
        parser.finish();
      }
    }

    private void endOfResponse() {
      if (watch) {
        fail("ended the watch");
      } else {
        refreshPolicy.responseCompleted(clock.now(), number);
      }
    }

    private void accept(EndpointList list) {
      list.problems().forEach(listener::problemFound);
      switch (refreshPolicy.listReceived(clock.now(), number, list)) {
        case IGNORED_REQUEST_CLOSED, IGNORED_OLDER_VERSION ->
            reportLeaving(list.leavingEndpoints());
        case UNCHANGED -> listener.listUnchanged();
        case APPLIED -> listener.listReceived(list);
      }
    }

    private void reportLeaving(List<PartialEndpoint> endpoints) {
      if (!endpoints.isEmpty()) {
        listener.endpointsLeaving(endpoints);
      }
    }

    /** Closes the request. What was read of an unfinished list still counts. */
    private void close() {
      closed = true;
      if (channel != null) {
        channel.close();
      }
      try {
        parser.finish();
      } catch (UnreadableListException e) {
        reportLeaving(e.leavingEndpoints());
      }
    }

    private void fail(String reason) {
      if (!closed) {
        listener.requestFailed(reason);
        refreshPolicy.requestFailed(clock.now(), number);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      fail("closed the connection");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      fail(String.valueOf(cause.getMessage()));
    }
  }
}
