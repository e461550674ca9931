package rushwood.protocol;

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
import rushwood.dispatch.RequestDispatcher.PartialEndpoint;
import rushwood.dispatch.TimerQueue;
import rushwood.follow.Following;

/**
 * Makes the calls for the host list and reads what they bring; when to call is {@link Following}'s
 * word.
 */
public final class Discovery {
  /** Where the list and its troubles go. */
  public interface Events {
    /** All of it counts. */
    void listing(ListReader.Listing listing);

    /** Of what cannot be read or believed, the hosts that leave. */
    void leaving(List<PartialEndpoint> hosts);

    /** An ask brought nothing that is not held already. */
    void unchanged();

    /** A call ended, was silent or brought what cannot be read. */
    void failed(String why);

    /** A listing counts but for this part of it. */
    void unread(String fault);
  }

  private static final String PATH = "/registry/instances";

  private final EventLoop loop;
  private final EventLoopClock clock;
  private final TimerQueue agenda;
  private final Events events;
  private final Following following;
  private final Map<Integer, Call> calls = new HashMap<>();
  private InetSocketAddress address;
  private long heldSum; // of the last whole list that counts
  private TimerQueue.ScheduledTask wake;

  /**
   * With the time within which sends to a leaving host end, and the version of the list that is
   * held, 0 for none.
   */
  public Discovery(
      EventLoop loop,
      InetSocketAddress address,
      EventLoopClock clock,
      TimerQueue agenda,
      long grace,
      long version,
      RandomGenerator chance,
      Events events) {
    this.loop = loop;
    this.address = address;
    this.clock = clock;
    this.agenda = agenda;
    this.events = events;
    following = new Following(grace, version, chance, new Calls());
  }

  public void follow() {
    following.start(clock.now());
  }

  /**
   * Goes on at another address at once; that the old one ends is no failure, and its versions say
   * nothing.
   */
  public void move(InetSocketAddress to) {
    address = to;
    following.moved(clock.now());
  }

  public void close() {
    following.stop();
    if (wake != null) {
      wake.cancel();
    }
  }

  private final class Calls implements Following.Calls {
    @Override
    public void open(int number, boolean watch, long since) {
      Call next = new Call(number, watch, since);
      calls.put(number, next);
      // A call that does not come up is closed when its time is over.
      next.channel =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      channel.pipeline().addLast(new HttpClientCodec(), next);
                    }
                  })
              .connect(address)
              .addListener(
                  done -> {
                    if (!done.isSuccess()) {
                      next.fail("cannot be reached");
                    }
                  })
              .channel();
    }

    @Override
    public void close(int number, boolean silent) {
      Call call = calls.remove(number);
      if (call != null) {
        call.end();
        if (silent) {
          events.failed("is silent");
        }
      }
    }

    @Override
    public void wake(long at) {
      if (wake != null) {
        wake.cancel();
      }
      wake = agenda.schedule(at, () -> following.woken(clock.now()));
    }
  }

  private final class Call extends SimpleChannelInboundHandler<HttpObject> {
    private final int number;
    private final boolean watch;
    private final long since;
    private final ListReader reader;
    private Channel channel;
    private boolean over;

    Call(int number, boolean watch, long since) {
      this.number = number;
      this.watch = watch;
      this.since = since;
      reader = new ListReader(!watch, following.held(), heldSum);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      String path = watch ? PATH + "?follow=1&since=" + since : PATH;
      DefaultFullHttpRequest get =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
      get.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
      context.writeAndFlush(get);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
      if (over) {
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
        ListReader.Listing listing = reader.next(content);
        while (listing != null && !over) {
          take(listing);
          listing = reader.next(content);
        }
        if (last && !over) {
          reader.end();
        }
      } catch (ListReader.Unreadable e) {
        leaving(e.partials());
        fail("writes what cannot be read: " + e.getMessage());
        return;
      }
      if (!over) {
        following.heard(clock.now(), number, reader.isBetween());
      }
      if (last && !over) {
        if (watch) {
          fail("ended the watch");
        } else {
          following.done(clock.now(), number);
        }
      }
    }

    private void take(ListReader.Listing listing) {
      listing.faults().forEach(events::unread);
      Following.Verdict counts =
          following.listing(
              clock.now(), number, listing.whole(), listing.version(), listing.faults().isEmpty());
      if (counts == Following.Verdict.LEAVING_HOSTS) {
        leaving(listing.leaving());
      } else if (listing.known()) {
        events.unchanged();
      } else {
        heldSum = listing.whole() ? listing.sum() : heldSum;
        events.listing(listing);
      }
    }

    private void leaving(List<PartialEndpoint> hosts) {
      if (!hosts.isEmpty()) {
        events.leaving(hosts);
      }
    }

    /** Closed by us. An answer that was half read says what it said so far. */
    private void end() {
      over = true;
      if (channel != null) {
        channel.close();
      }
      try {
        reader.end();
      } catch (ListReader.Unreadable e) {
        leaving(e.partials());
      }
    }

    private void fail(String why) {
      if (!over) {
        events.failed(why);
        following.failed(clock.now(), number);
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
