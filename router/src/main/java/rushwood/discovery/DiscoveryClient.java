package rushwood.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
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
 * Makes the calls for the host list and reads what they bring; when to call is {@link Following}'s
 * word.
 */
public final class DiscoveryClient {
  /** Where the list and its troubles go. */
  public interface Listener {
    /** All of it counts. */
    void listReceived(EndpointListParser.EndpointList list);

    /** Of what cannot be read or believed, the hosts that leave. */
    void endpointsLeaving(List<PartialEndpoint> endpoints);

    /** An ask brought nothing that is not held already. */
    void listUnchanged();

    /** A call ended, was silent or brought what cannot be read. */
    void requestFailed(String reason);

    /** A listing counts but for this part of it. */
    void problemFound(String problem);
  }

  private static final String PATH = "/registry/instances";

  private final EventLoop loop;
  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final Listener listener;
  private final EndpointRefreshPolicy refreshPolicy;
  private final Map<Integer, DiscoveryRequest> openRequests = new HashMap<>();
  private InetSocketAddress address;
  private long cachedChecksum; // of the last whole list that counts
  private TimerQueue.ScheduledTask wakeup;

  /**
   * With the time within which sends to a leaving host end, and the version of the list that is
   * held, 0 for none.
   */
  public DiscoveryClient(
      EventLoop loop,
      InetSocketAddress address,
      EventLoopClock clock,
      TimerQueue timers,
      long drainGrace,
      long version,
      RandomGenerator random,
      Listener listener) {
    this.loop = loop;
    this.address = address;
    this.clock = clock;
    this.timers = timers;
    this.listener = listener;
    refreshPolicy = new EndpointRefreshPolicy(drainGrace, version, random, new HttpTransport());
  }

  public void start() {
    refreshPolicy.start(clock.now());
  }

  /**
   * Goes on at another address at once; that the old one ends is no failure, and its versions say
   * nothing.
   */
  public void changeAddress(InetSocketAddress newAddress) {
    address = newAddress;
    refreshPolicy.addressChanged(clock.now());
  }

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
      // A call that does not come up is closed when its time is over.
      request.channel =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      channel.pipeline().addLast(new HttpClientCodec(), request);
                    }
                  })
              .connect(address)
              .addListener(
                  connected -> {
                    if (!connected.isSuccess()) {
                      request.fail("cannot be reached");
                    }
                  })
              .channel();
    }

    @Override
    public void close(int requestNumber, boolean timedOut) {
      DiscoveryRequest request = openRequests.remove(requestNumber);
      if (request != null) {
        request.close();
        if (timedOut) {
          listener.requestFailed("is silent");
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
      parser = new EndpointListParser(!watch, refreshPolicy.skippableVersion(), cachedChecksum);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      String path = watch ? PATH + "?follow=1&since=" + sinceVersion : PATH;
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
        fail("writes no HTTP");
      } else if (message instanceof HttpResponse response
          && !response.status().equals(HttpResponseStatus.OK)) {
        fail("answers " + response.status().code());
      } else if (message instanceof HttpContent content) {
        read(content.content(), message instanceof LastHttpContent);
      }
    }

    private void read(ByteBuf content, boolean last) {
      try {
        EndpointListParser.EndpointList list = parser.next(content);
        while (list != null && !closed) {
          accept(list);
          list = parser.next(content);
        }
        if (last && !closed) {
          parser.finish();
        }
      } catch (EndpointListParser.UnreadableListException e) {
        reportLeaving(e.leavingEndpoints());
        fail("writes what cannot be read: " + e.getMessage());
        return;
      }
      if (!closed) {
        refreshPolicy.dataReceived(clock.now(), number, parser.isBetweenLists());
      }
      if (last && !closed) {
        if (watch) {
          fail("ended the watch");
        } else {
          refreshPolicy.responseCompleted(clock.now(), number);
        }
      }
    }

    private void accept(EndpointListParser.EndpointList list) {
      list.problems().forEach(listener::problemFound);
      EndpointRefreshPolicy.Acceptance acceptance =
          refreshPolicy.listReceived(
              clock.now(), number, list.complete(), list.version(), list.problems().isEmpty());
      if (acceptance == EndpointRefreshPolicy.Acceptance.LEAVING_ENDPOINTS) {
        reportLeaving(list.leavingEndpoints());
      } else if (list.unchanged()) {
        listener.listUnchanged();
      } else {
        cachedChecksum = list.complete() ? list.checksum() : cachedChecksum;
        listener.listReceived(list);
      }
    }

    private void reportLeaving(List<PartialEndpoint> endpoints) {
      if (!endpoints.isEmpty()) {
        listener.endpointsLeaving(endpoints);
      }
    }

    /** Closed by us. An answer that was half read says what it said so far. */
    private void close() {
      closed = true;
      if (channel != null) {
        channel.close();
      }
      try {
        parser.finish();
      } catch (EndpointListParser.UnreadableListException e) {
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
