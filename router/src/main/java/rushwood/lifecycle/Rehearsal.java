package rushwood.lifecycle;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import java.net.InetSocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.RequestClass;
import rushwood.api.ZoneId;
import rushwood.dispatch.Counters;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.RequestDispatcher;
import rushwood.dispatch.TimerQueue;
import rushwood.overload.ConnectBackoff;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.DescriptorBudget;
import rushwood.overload.OverloadController;
import rushwood.overload.OverloadSettings;
import rushwood.policy.DefaultRoutingPolicy;
import rushwood.wire.Clients;
import rushwood.wire.HostLinks;
import rushwood.wire.RehearsedPeers;

/**
 * Plays accesses through a router of its own before the real one is ready, from clients to hosts
 * that it has itself, over sockets in the file system: cold code costs a whole core in the first
 * second, and on part of a core clients would wait past their time for it.
 */
final class Rehearsal {
  private static final int CLIENTS = 12; // at once: some park, as in a busy second
  private static final int HOSTS = 4;
  private static final int MOST =
      6000; // accesses: the compiler takes a method after 200 calls, rare ones too
  private static final long LONGEST =
      900_000_000; // nanoseconds: more made restarts longer than it saved
  private static final long LOOK = 10_000_000;

  private final Config config;
  private final EventLoopGroup group;
  private final SingleThreadEventLoop loop;
  private final ByteBufAllocator allocator;
  private final List<RequestClass> products;
  private final Counters counters = new Counters();
  private final List<Channel> channels = new ArrayList<>();
  private final ChannelGroup peers;
  private final CompletableFuture<Counters> played = new CompletableFuture<>();
  private Path folder;
  private RequestDispatcher router;
  private Future<?> timer;
  private int asked;
  private boolean over;

  Rehearsal(Config config, EventLoopGroup group, EventLoop loop, ByteBufAllocator allocator) {
    this.config = config;
    this.group = group;
    this.loop = (SingleThreadEventLoop) loop;
    this.allocator = allocator;
    peers = new DefaultChannelGroup(loop);
    products = config.settings().requestClasses();
  }

  /** What came of it, for whoever wants to know that it still does something. */
  Counters play() throws Exception {
    folder = Files.createTempDirectory("rehearsal");
    try {
      loop.submit(this::begin).get();
      return played.get();
    } finally {
      Files.deleteIfExists(folder.resolve("c"));
      Files.deleteIfExists(folder.resolve("h"));
      Files.deleteIfExists(folder);
    }
  }

  private UnixDomainSocketAddress at(String name) {
    return UnixDomainSocketAddress.of(folder.resolve(name));
  }

  private void begin() {
    long end = System.nanoTime() + LONGEST;
    EventLoopClock clock = EventLoopClock.system(loop::executeAfterEventLoopIteration);
    TimerQueue agenda = new TimerQueue(clock, this::set, counters);
    HostLinks links =
        new HostLinks(
            new Bootstrap().group(loop).channel(NioDomainSocketChannel.class),
            address -> at("h"),
            allocator,
            counters);
    ConnectBackoff dials = new ConnectBackoff(new SplittableRandom(config.seed()), true);
    DescriptorBudget sockets = new DescriptorBudget(CLIENTS * 5);
    router =
        new RequestDispatcher(
            clock,
            agenda,
            counters,
            new RequestDispatcher.ConnectionSettings(
                sockets, dials, config.openWithin(), config.idleFor(), true, config.grace()),
            links,
            links::probe,
            () -> {},
            line -> {},
            out ->
                new OverloadController(
                    config.settings(),
                    OverloadSettings.DEFAULT,
                    dials,
                    out,
                    (crowd, outlet) ->
                        new DefaultRoutingPolicy(
                            config.settings(),
                            new SplittableRandom(config.seed()),
                            outlet,
                            crowd)));
    Clients clients =
        new Clients(
            router,
            clock,
            agenda,
            counters,
            products,
            new ConnectionAdmission(CLIENTS, 0),
            sockets,
            () -> 0,
            new SplittableRandom(config.seed()));
    router.endpointsReplaced(places(), true);
    listen(
        "h",
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            peers.add(channel);
            channel.pipeline().addLast(new RehearsedPeers.Host(asked));
          }
        });
    listen("c", clients);
    look(end);
  }

  private void listen(String name, ChannelHandler handler) {
    channels.add(
        new ServerBootstrap()
            .group(group)
            .channel(NioServerDomainSocketChannel.class)
            .childHandler(handler)
            .bind(at(name))
            .addListener(
                bound -> {
                  for (int i = 0; i < CLIENTS && name.equals("c"); i++) {
                    connect();
                  }
                })
            .channel());
  }

  private void connect() {
    if (!over) {
      peers.add(
          new Bootstrap()
              .group(loop)
              .channel(NioDomainSocketChannel.class)
              .handler(new RehearsedPeers.Client(this::statement, this::connect))
              .connect(at("c"))
              .channel());
    }
  }

  private List<RequestDispatcher.EndpointAddress> places() {
    List<RequestDispatcher.EndpointAddress> places = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      places.add(
          new RequestDispatcher.EndpointAddress(
              new Endpoint(
                  new HostId("h" + i),
                  new GroupId(0),
                  new ZoneId(""),
                  1,
                  0,
                  i == 0,
                  Endpoint.State.READY),
              new InetSocketAddress(0)));
    }
    return places;
  }

  private String statement() {
    RequestClass product = products.get(asked++ % products.size());
    boolean tooLate = asked % 16 == 0;
    String comment =
        "/* id=" + asked + ",c=" + product.name() + ",d=" + (tooLate ? 1 : 2000) + ",cluster=0 */";
    return product.consistency() == RequestClass.Consistency.WRITE
        ? "INSERT INTO state (uid, val) VALUES ('k', '\\x00') RETURNING val " + comment
        : "SELECT val FROM state WHERE uid = 'k' " + comment;
  }

  private void set(long delay, Runnable task) {
    if (timer != null) {
      timer.cancel(false);
    }
    timer = over ? null : loop.schedule(task, delay, TimeUnit.NANOSECONDS);
  }

  private void look(long end) {
    if (asked < MOST && System.nanoTime() < end) {
      loop.schedule(() -> look(end), LOOK, TimeUnit.NANOSECONDS);
      return;
    }
    over = true;
    timer.cancel(false);
    channels.forEach(Channel::close);
    router.close();
    peers.close(); // our ends of both sides: left open they kept two dozen descriptors for good
    // What closing brings is over a turn or two later.
    loop.schedule(() -> played.complete(counters), 2 * LOOK, TimeUnit.NANOSECONDS);
  }
}
